import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {join} from 'node:path';
import test from 'ava';
import {writeCrash} from '../src/sidecar/crash_log.js';
import {
  createDecisionLog,
  MAX_PENDING_BYTES,
} from '../src/sidecar/decision_log.js';
import {writeAtOnce} from '../src/sidecar/stdout.js';

const MAIN_FILE = join(import.meta.dirname, '../platform/main.js');

/** Module that writes to the log of a daemon, then causes an error that nothing
 * handles. */
function formatPreload(failure: string): string {
  const url = join(import.meta.dirname, '../src/sidecar/decision_log.js');
  // The main module is loaded after this one; a throw from a timer reaches it
  // while it waits for its settings file.
  return `
    import {createDecisionLog} from 'file://${url}';
    const log = createDecisionLog({now: () => 0});
    void log;
    setTimeout(() => {${failure}}, 300);`;
}

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
