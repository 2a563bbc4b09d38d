// Builds the daemon into target/: one file without the module loader, and a code
// cache from a short run of it. See docs/platform.md.
import {spawnSync} from 'node:child_process';
import {resolve} from 'node:path';
import {writeBundle} from './bundle.mjs';

/** Flags of the daemon; V8 accepts a code cache only under the same ones. */
const NODE_FLAGS = process.argv.slice(2);

await writeBundle(resolve('target'));

const {status, stderr} = spawnSync(
  process.execPath,
  [...NODE_FLAGS, 'deploy/code_cache.cjs'],
  {encoding: 'utf8', timeout: 60_000},
);
// The daemon also runs without the cache; it only starts more slowly.
if (status !== 0) process.stderr.write(`no code cache: ${stderr}\n`);
