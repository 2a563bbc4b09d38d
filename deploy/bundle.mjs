// Bundles the daemon. See docs/platform.md.
import {copyFileSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import {build} from 'esbuild';

const ROOT = join(import.meta.dirname, '..');

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

/** Writes the daemon as one file, and its loader, into a directory, and removes the
 * code cache there: V8 accepts one of another source of the same length, whose
 * functions then fail or crash the process. */
export async function writeBundle(dir) {
  rmSync(join(dir, 'berylbend.cache'), {force: true});
  await build({
    absWorkingDir: ROOT,
    entryPoints: ['platform/main.ts'],
    bundle: true,
    minify: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    alias: STAND_INS,
    logLevel: 'warning',
    outfile: join(dir, 'berylbend.cjs'),
  });
  copyFileSync(join(ROOT, 'deploy/main.cjs'), join(dir, 'main.cjs'));
}
