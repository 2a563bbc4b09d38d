import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {stringify} from 'yaml';
import type {Settings} from '../src/internal.js';

const COMMAND = fileURLToPath(
  new URL('../../bin/berylbend.js', import.meta.url),
);

/** Daemon that runs in a separate process. */
export interface DaemonProcess {
  readonly settings: Settings;
  readonly pid: number;
  readonly customerUrl: string;
  readonly adminUrl: string;
  /** Exit code, or the signal that terminated the process. */
  readonly exited: Promise<number | string>;
  isRunning(): boolean;
  signal(name: NodeJS.Signals): void;
  /** Requests a path of the admin port; undefined while it is unreachable. */
  readAdmin(path: string): Promise<AdminAnswer | undefined>;
  /** Returns the last lines of stdout and stderr. */
  readLog(lines: number): string[];
}

/** Response of the admin port. */
export interface AdminAnswer {
  status: number;
  text: string;
}

/** Starts a daemon process; its settings and log are in `directory`. */
export function startDaemonProcess(
  settings: Settings,
  directory: string,
): DaemonProcess {
  const config = join(directory, `${settings.id}.yaml`);
  const logFile = join(directory, `${settings.id}.log`);
  writeFileSync(config, stringify(settings));
  const log = openSync(logFile, 'a');
  const child = spawn(
    process.execPath,
    [COMMAND, 'daemon', '--config', config],
    {stdio: ['ignore', log, log]},
  );
  closeSync(log);
  const {host, customerPort, adminHost, adminPort} = settings.listen;
  const adminUrl = `http://${adminHost}:${adminPort}`;
  const isRunning = () => child.exitCode === null && child.signalCode === null;

  return {
    settings,
    pid: child.pid ?? 0,
    customerUrl: `http://${host}:${customerPort}`,
    adminUrl,
    exited: waitForExit(child),
    isRunning,
    signal: name => {
      if (isRunning()) child.kill(name);
    },
    readAdmin: path => readAdmin(`${adminUrl}${path}`),
    readLog: lines =>
      readFileSync(logFile, 'utf8').trimEnd().split('\n').slice(-lines),
  };
}

function waitForExit(child: ChildProcess): Promise<number | string> {
  return new Promise(resolve => {
    child.once('error', err => resolve(err.message));
    child.once('exit', (code, signal) => resolve(code ?? signal ?? 'unknown'));
  });
}

async function readAdmin(url: string): Promise<AdminAnswer | undefined> {
  try {
    const {statusCode, body} = await request(url, {
      headersTimeout: 5_000,
      bodyTimeout: 5_000,
      reset: true,
    });
    return {status: statusCode, text: await body.text()};
  } catch {
    return undefined;
  }
}
