import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {ExecutionContext} from 'ava';

/** Entry file of the daemon, without the loader of the deployed program. */
export const MAIN_FILE = join(import.meta.dirname, '../../platform/main.js');

/** Line of the decision log. */
export type Line = Readonly<Record<string, unknown>>;

/** A daemon in a process of its own. */
export interface DaemonProcess {
  readonly child: ChildProcess;
  /** Lines of the decision log so far. */
  readonly lines: Line[];
  /** Text of standard error so far. */
  readStderr(): string;
  /** Exit code and signal, once the process has ended. */
  readonly ended: Promise<[number | null, NodeJS.Signals | null]>;
  /** Resolves to the first line of a decision; rejects if the process ends
   * without one. */
  waitForLine(decision: string): Promise<Line>;
}

/** Starts a daemon that is killed at the end of the test. */
export function startProcess(
  t: ExecutionContext,
  args: readonly string[],
  file: string,
  cwd?: string,
): DaemonProcess {
  const env = {...process.env, BERYLBEND_NODE_FILE: file};
  const child = spawn(process.execPath, args, {env, cwd});
  t.teardown(() => child.kill('SIGKILL'));
  const lines: Line[] = [];
  let rest = '';
  let stderr = '';
  child.stderr.on('data', (chunk: Buffer) => (stderr += chunk.toString()));
  child.stdout.on('data', (chunk: Buffer) => {
    const parts = (rest + chunk.toString()).split('\n');
    rest = parts.pop() ?? '';
    lines.push(...parts.map(text => JSON.parse(text) as Line));
    child.emit('lines');
  });
  const ended = once(child, 'close') as DaemonProcess['ended'];
  const waitForLine = async (decision: string): Promise<Line> => {
    for (;;) {
      const line = lines.find(found => found['decision'] === decision);
      if (line) return line;
      const end = await Promise.race([ended, once(child, 'lines')]);
      if (end.length === 0) continue;
      const seen = lines.map(({decision}) => decision).join(', ');
      throw new Error(`ended: ${end.join()}; lines: ${seen}; ${stderr}`);
    }
  };
  return {child, lines, readStderr: () => stderr, ended, waitForLine};
}

/** Creates a directory that is removed at the end of the test. */
export function createDirectory(t: ExecutionContext): string {
  const dir = mkdtempSync(join(tmpdir(), 'berylbend-start-'));
  t.teardown(() => rmSync(dir, {recursive: true}));
  return dir;
}
