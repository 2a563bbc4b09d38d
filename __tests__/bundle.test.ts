import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {createDaemonSettings} from '../soak/daemons.js';

const ROOT = join(import.meta.dirname, '../..');

/** Flags of Node in one line of the deploy file. */
function readFlags(line: 'build' | 'run'): string[] {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const value = new RegExp(`^${line} = "(.*)"$`, 'm').exec(text)?.[1] ?? '';
  const words = value.split(' ');
  return words
    .slice(words.findIndex(word => word.startsWith('--max')))
    .filter(word => word.startsWith('--'));
}

// V8 ignores a code cache that was made under other flags, and each start then
// compiles the whole program again.
test('the deployed program runs from its code cache', t => {
  const flags = readFlags('run');
  t.true(flags.length > 0);
  t.deepEqual(readFlags('build'), flags);
  const run = (...args: string[]) =>
    execFileSync(process.execPath, args, {cwd: ROOT, encoding: 'utf8'});
  run('deploy/build.mjs', ...flags);
  const script = `
    const {compileBundle} = require('./target/main.cjs');
    process.stdout.write(String(compileBundle().cachedDataRejected));
  `;
  t.is(run(...flags, '-e', script), 'false');
  const dir = mkdtempSync(join(tmpdir(), 'berylbend-bundle-'));
  t.teardown(() => rmSync(dir, {recursive: true}));
  const file = join(dir, 'node.json');
  const settings = createDaemonSettings('d0', '127.0.0.1', 'z1', 's', []);
  writeFileSync(file, JSON.stringify(settings));
  t.regex(run(...flags, 'target/main.cjs', 'check', file), /valid; d0 in z1/);
});
