import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  rmSync,
  writeFileSync,
  writeSync,
} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {createDaemonSettings, PORTS} from '../soak/daemons.js';

const SIDECAR = join(import.meta.dirname, '../src/sidecar');

const MAIN_FILE = join(import.meta.dirname, '../platform/main.js');

/** Longest stop, ms: 2.5 s of notice, the wait for the log, a busy machine. */
const MAX_STOP_MS = 12_000;

/** Time for which nothing is read, ms. */
const STALL_MS = 500;

/** Attempts to write a full output in `STALL_MS`; without a pause there are
 * thousands. */
const MAX_ATTEMPTS = 50;

// A full output that is non-blocking was written again without a pause, which
// kept the event loop and a thread busy as long as its reader stalled.
test('a full output is written again after a pause', async t => {
  const script = `
    import fs from 'node:fs';
    import {syncBuiltinESMExports} from 'node:module';
    import {Socket} from 'node:net';
    // Makes descriptor 1 non-blocking.
    new Socket({fd: 1, readable: false, writable: true});
    const {write} = fs;
    let attempts = 0;
    fs.write = (...args) => {
      attempts++;
      return write(...args);
    };
    syncBuiltinESMExports();
    const {createDecisionLog} = await import('${SIDECAR}/decision_log.js');
    const log = createDecisionLog({id: 'd', dataCentre: 'z', now: () => 0});
    const text = 'x'.repeat(1_000);
    for (let i = 0; i < 250; i++) log.write('always', 'request', {text});
    setTimeout(() => {
      process.stderr.write(String(attempts));
      log.close().then(() => process.exit(0));
    }, ${STALL_MS});`;
  const child = spawn(process.execPath, ['--input-type=module', '-e', script]);
  t.teardown(() => child.kill('SIGKILL'));
  const [attempts] = (await once(child.stderr, 'data')) as [Buffer];
  t.true(Number(attempts.toString()) <= MAX_ATTEMPTS, attempts.toString());
  const chunks: Buffer[] = [];
  child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
  await once(child, 'close');
  const lines = Buffer.concat(chunks).toString().trim().split('\n');
  for (const line of lines) t.notThrows(() => JSON.parse(line) as unknown);
  t.true(lines.length > 200);
});

/** Outputs that take nothing. */
const DEAD_OUTPUTS: Record<string, () => OutputEnd> = {
  'is closed by its reader': openClosedPipe,
  'is full and not read': openFullPipe,
};

interface OutputEnd {
  /** Descriptor for the daemon to write to. */
  readonly fd: number;
  close(): void;
}

function openClosedPipe(): OutputEnd {
  const {path, remove} = createFifo();
  const reader = openSync(path, constants.O_RDONLY | constants.O_NONBLOCK);
  const fd = openSync(path, constants.O_WRONLY);
  closeSync(reader);
  remove();
  return {fd, close: () => closeSync(fd)};
}

function openFullPipe(): OutputEnd {
  const {path, remove} = createFifo();
  const filler = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
  fill(filler);
  const fd = openSync(path, constants.O_WRONLY);
  remove();
  const close = () => {
    closeSync(fd);
    closeSync(filler);
  };
  return {fd, close};
}

/** Writes to a non-blocking pipe until it takes nothing more. */
function fill(fd: number): void {
  const page = Buffer.alloc(4_096);
  try {
    while (writeSync(fd, page) > 0);
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code !== 'EAGAIN') throw err;
  }
}

function createFifo() {
  const dir = mkdtempSync(join(tmpdir(), 'berylbend-fifo-'));
  const path = join(dir, 'out');
  execFileSync('mkfifo', [path]);
  return {path, remove: () => rmSync(dir, {recursive: true})};
}

for (const [state, open] of Object.entries(DEAD_OUTPUTS)) {
  // The stop waited for its last lines to be written, or the exit for a thread
  // that was blocked in a write: the daemon ran until it was killed.
  test.serial(`a daemon whose output ${state} ends after SIGTERM`, async t => {
    const output = open();
    t.teardown(() => output.close());
    const dir = mkdtempSync(join(tmpdir(), 'berylbend-stdout-'));
    t.teardown(() => rmSync(dir, {recursive: true}));
    const host = `127.79.${(process.pid >> 1) & 127}.1`;
    const file = join(dir, 'node.json');
    const settings = createDaemonSettings('d0', host, 'z1', 's', []);
    writeFileSync(file, JSON.stringify(settings));
    const child = spawn(process.execPath, [MAIN_FILE], {
      env: {...process.env, BERYLBEND_NODE_FILE: file},
      stdio: ['ignore', output.fd, 'inherit'],
    });
    t.teardown(() => child.kill('SIGKILL'));
    while (!(await isListening(host, PORTS.ready))) await delay(50);
    const exited = once(child, 'exit');
    child.kill('SIGTERM');
    const late = delay(MAX_STOP_MS, ['late'], {ref: false});
    t.deepEqual(await Promise.race([exited, late]), [0, null]);
  });
}

function isListening(host: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(port, host);
    socket.once('connect', () => resolve(true));
    socket.once('error', () => resolve(false));
    socket.once('connect', () => socket.destroy());
  });
}
