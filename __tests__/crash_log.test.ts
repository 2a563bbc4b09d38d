import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test, {type ExecutionContext} from 'ava';
import VError from 'verror';
import {createDaemonSettings} from '../soak/daemons.js';
import {writeCrash} from '../src/sidecar/crash_log.js';
import {
  createDecisionLog,
  MAX_PENDING_BYTES,
} from '../src/sidecar/decision_log.js';
import {writeAtOnce} from '../src/sidecar/stdout.js';

const MAIN_FILE = join(import.meta.dirname, '../platform/main.js');

const SIDECAR = join(import.meta.dirname, '../src/sidecar');

interface End {
  readonly code: number | null;
  readonly lines: ReadonlyArray<Record<string, unknown>>;
  readonly stderr: string;
}

async function run(args: readonly string[], file?: string): Promise<End> {
  const env = {...process.env, BERYLBEND_NODE_FILE: file};
  const child = spawn(process.execPath, args, {env});
  let stdout = '';
  let stderr = '';
  child.stdout.on('data', (chunk: Buffer) => (stdout += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (stderr += chunk.toString()));
  const [code] = (await once(child, 'close')) as [number | null];
  const lines = stdout
    .split('\n')
    .filter(line => line !== '')
    .map(line => JSON.parse(line) as Record<string, unknown>);
  return {code, lines, stderr};
}

// A line in the pool's thread may be written after that of the crash.
function findLine({lines}: End, name: string) {
  return lines.find(({decision}) => decision === name);
}

function writeSettings(t: ExecutionContext, text: string): string {
  const dir = mkdtempSync(join(tmpdir(), 'berylbend-crash-'));
  t.teardown(() => rmSync(dir, {recursive: true}));
  const file = join(dir, 'node.json');
  writeFileSync(file, text);
  return file;
}

/** Sources of an error that nothing handles. */
const FAILURES = {
  uncaughtException: "throw new Error('broken')",
  unhandledRejection: "void Promise.reject(new Error('broken'))",
};

for (const [source, failure] of Object.entries(FAILURES)) {
  // An error that nothing handles left no line on standard output, and the lines
  // of the last 100 ms were lost.
  test(`buffered lines and the error are written: ${source}`, async t => {
    const script = `
      import {createDecisionLog} from '${SIDECAR}/decision_log.js';
      import {crashOnUnhandled} from '${SIDECAR}/crash_log.js';
      const log = createDecisionLog({id: 'd', dataCentre: 'z', now: () => 0});
      crashOnUnhandled(log);
      const text = 'x'.repeat(1_000);
      for (let i = 0; i < 200; i++) log.write('always', 'request', {text});
      ${failure};`;
    const end = await run(['--input-type=module', '-e', script]);
    t.is(end.code, 1);
    t.is(end.lines.length, 201);
    const line = end.lines[200];
    t.like(line, {id: 'd', decision: 'crashed', source, error: 'broken'});
    t.regex(String(line.stack), /^Error: broken at .*$/);
  });

  // The handlers must be in place in the program itself.
  test.serial(`a daemon logs what ends it: ${source}`, async t => {
    const preload = `
      const timer = setInterval(() => {
        if (process.listenerCount('uncaughtException') === 0) return;
        clearInterval(timer);
        ${failure};
      }, 20);`;
    const url = `data:text/javascript,${encodeURIComponent(preload)}`;
    const host = `127.80.${(process.pid >> 1) & 127}.1`;
    const settings = createDaemonSettings('d0', host, 'z1', 's', []);
    const file = writeSettings(t, JSON.stringify(settings));
    const end = await run(['--import', url, MAIN_FILE], file);
    t.is(end.code, 1);
    t.truthy(findLine(end, 'starting'));
    t.like(findLine(end, 'crashed'), {source, error: 'broken'});
    t.regex(end.stderr, /Error: broken/);
  });
}

// The reason of a start that ended was on standard error alone.
test('a start that fails says why on standard output', async t => {
  const end = await run([MAIN_FILE], '');
  t.is(end.code, 1);
  t.is(end.lines.length, 2);
  t.truthy(findLine(end, 'starting'));
  const line = findLine(end, 'crashed');
  const reason = 'BERYLBEND_NODE_FILE is not set';
  t.is(line?.error, reason);
  t.is(line?.source, 'main');
  t.is(end.stderr, `${reason}\n`);
});

// `check` is for people and scripts: its message stays as it was.
test('check prints a plain message', async t => {
  const file = writeSettings(t, '{"self": {');
  const end = await run([MAIN_FILE, 'check', file]);
  t.is(end.code, 1);
  t.deepEqual(end.lines, []);
  t.true(end.stderr.startsWith(`settings file ${file}: `));
  t.is(end.stderr.trim().split('\n').length, 1);
});

// The buffer is full when a reader has stalled; the reason must not be dropped.
test('the crash is logged although the buffer is full', t => {
  const log = createDecisionLog({now: () => 0, out: () => {}});
  const text = 'x'.repeat(1_000);
  while (log.countDropped() === 0) log.write('always', 'request', {text});
  let written = '';
  const inUse = Object.assign(new Error('listen'), {code: 'EADDRINUSE'});
  writeCrash(log, new VError(inUse, 'port 80'), 'main', bytes => {
    written += Buffer.from(bytes).toString();
    return bytes.length;
  });
  t.true(written.length > MAX_PENDING_BYTES - 2 * text.length);
  const last = JSON.parse(written.trim().split('\n').at(-1) ?? '') as unknown;
  t.like(last, {decision: 'crashed', code: 'EADDRINUSE'});
});

function createSystemError(code: string): Error {
  return Object.assign(new Error(code), {code});
}

// A process whose output is full or closed must end all the same.
test('writing at once gives up on an output that takes nothing', t => {
  const counts = ['EAGAIN', 'EPIPE'].map(code => {
    let attempts = 0;
    writeAtOnce('text', () => {
      attempts++;
      throw createSystemError(code);
    });
    return attempts;
  });
  t.deepEqual(counts, [20, 1]);
});

test('writing at once continues after a part and a full output', t => {
  let written = '';
  let calls = 0;
  writeAtOnce('some text', bytes => {
    if (calls++ % 2 === 1) throw createSystemError('EAGAIN');
    written += Buffer.from(bytes.subarray(0, 4)).toString();
    return Math.min(bytes.length, 4);
  });
  t.is(written, 'some text');
});
