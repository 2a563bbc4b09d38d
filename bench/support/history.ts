import {execFileSync} from 'node:child_process';
import {appendFileSync} from 'node:fs';
import {loadavg} from 'node:os';

const HISTORY = new URL('../../../bench/history.jsonl', import.meta.url);

/** Appends the figures of one run to `bench/history.jsonl`. */
export function appendHistory(bench: string, figures: unknown): void {
  const entry = {
    at: new Date().toISOString(),
    bench,
    commit: readCommit(),
    load: loadavg().map(value => Math.round(value * 100) / 100),
    figures,
  };
  appendFileSync(HISTORY, `${JSON.stringify(entry)}\n`);
}

function readCommit(): string {
  const text = execFileSync('git', ['describe', '--always', '--dirty']);
  return text.toString().trim();
}
