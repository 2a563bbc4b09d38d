import {writeFileSync} from 'node:fs';
import {join} from 'node:path';

/** Flags of Node in the deploy file (`deploy/system.toml`). */
export const NODE_FLAGS =
  '--max-old-space-size=160 --max-semi-space-size=2 ' +
  '--semi-space-growth-factor=1 --single-threaded';

/** Module that reports on a pipe that the loader has begun, when it compiles the
 * bundle. A signal before the loader's first line ends the process, whatever it
 * holds. */
const REPORT_LOADER = `'use strict';
const {closeSync, writeSync} = require('node:fs');
const vm = require('node:vm');
const {Script} = vm;
vm.Script = class extends Script {
  constructor(...args) {
    vm.Script = Script;
    writeSync(3, '.');
    closeSync(3);
    super(...args);
  }
};
`;

/** Writes the deployed program without its code cache into a directory; returns
 * the arguments of Node that start it. It loads synchronously, unlike modules, so
 * no signal can arrive between the handlers of its loader and its own. */
export async function writeProgram(dir: string): Promise<readonly string[]> {
  const file = join(import.meta.dirname, '../../deploy/bundle.mjs');
  const {writeBundle} = (await import(file)) as {
    writeBundle(dir: string): Promise<void>;
  };
  await writeBundle(dir);
  const preload = join(dir, 'report_loader.cjs');
  writeFileSync(preload, REPORT_LOADER);
  return [...NODE_FLAGS.split(' '), '-r', preload, join(dir, 'main.cjs')];
}
