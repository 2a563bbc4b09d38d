import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {join} from 'node:path';
import test from 'ava';

const MAIN_FILE = join(import.meta.dirname, '../platform/main.js');

/** Preload that ends the process when the settings are read. */
const KILL_AT_SETTINGS = `
  const fs = require('node:fs');
  const {readFileSync} = fs;
  fs.readFileSync = (path, ...args) => {
    if (path !== 'absent.json') return readFileSync(path, ...args);
    // Time for the thread that writes the line.
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 50);
    process.kill(process.pid, 'SIGKILL');
  };
  require('node:module').syncBuiltinESMExports();`;

// A process that a signal ended in its first moments left no line: it could not be
// told from one that was never started.
test('the first line is out before the settings are read', async t => {
  const preload = `data:text/javascript,${encodeURIComponent(
    `import {createRequire} from 'node:module';
    const require = createRequire('/');${KILL_AT_SETTINGS}`,
  )}`;
  const child = spawn(process.execPath, ['--import', preload, MAIN_FILE], {
    env: {...process.env, BERYLBEND_NODE_FILE: 'absent.json'},
  });
  let text = '';
  child.stdout.on('data', (chunk: Buffer) => (text += chunk.toString()));
  const [, signal] = (await once(child, 'close')) as [unknown, string];
  t.is(signal, 'SIGKILL');
  const {decision, pid, nodeMs} = JSON.parse(text) as Record<string, unknown>;
  t.deepEqual([decision, pid], ['starting', child.pid]);
  t.true(Number(nodeMs) > 0);
});
