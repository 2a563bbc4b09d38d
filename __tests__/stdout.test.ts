import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {join} from 'node:path';
import test from 'ava';

const SIDECAR = join(import.meta.dirname, '../src/sidecar');

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
