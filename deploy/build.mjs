// Builds the daemon into target/: one file without the module loader, and a code
// cache from a short run of it. See docs/platform.md.
import {spawnSync} from 'node:child_process';
import {copyFileSync} from 'node:fs';
import {build} from 'esbuild';

/** Flags of the daemon; V8 accepts a code cache only under the same ones. */
const NODE_FLAGS = process.argv.slice(2);

/** Smaller modules in place of those whose load time a start can't afford. */
const STAND_INS = {
  undici: './deploy/bundle/undici.cjs',
  'hdr-histogram-js': './deploy/bundle/hdr_histogram.cjs',
  assert: './deploy/bundle/assert.cjs',
  'node:assert': './deploy/bundle/assert.cjs',
  'node:http2': './deploy/bundle/http2.cjs',
  'dtrace-provider': './deploy/bundle/missing.cjs',
  mv: './deploy/bundle/missing.cjs',
  'source-map-support': './deploy/bundle/missing.cjs',
};

await build({
  entryPoints: ['platform/main.ts'],
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  alias: STAND_INS,
  logLevel: 'warning',
  outfile: 'target/berylbend.cjs',
});
copyFileSync('deploy/main.cjs', 'target/main.cjs');

const {status, stderr} = spawnSync(
  process.execPath,
  [...NODE_FLAGS, 'deploy/code_cache.cjs'],
  {encoding: 'utf8', timeout: 60_000},
);
// The daemon also runs without the cache; it only starts more slowly.
if (status !== 0) process.stderr.write(`no code cache: ${stderr}\n`);
