import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';

// Compares the latest figures of a benchmark with those of an earlier run.
// npm run bench:compare -- --bench processes [--back 1]

interface HistoryEntry {
  at: string;
  bench: string;
  commit: string;
  load: number[];
  figures: unknown;
}

const {values} = parseArgs({
  options: {
    bench: {type: 'string', default: 'processes'},
    back: {type: 'string', default: '1'},
  },
});
const historyText = readFileSync('bench/history.jsonl', 'utf8');
const entries = historyText
  .split('\n')
  .filter(line => line !== '')
  .map(line => JSON.parse(line) as HistoryEntry)
  .filter(line => line.bench === values.bench);
const latest = entries.at(-1);
const earlier = entries.at(-1 - Number(values.back));
if (!latest || !earlier) {
  console.error(`bench ${values.bench}: the history has too few runs`);
  process.exit(1);
}
console.log(`earlier ${earlier.commit} at ${earlier.at}, load ${earlier.load}`);
console.log(`latest  ${latest.commit} at ${latest.at}, load ${latest.load}`);
const earlierFigures = flatten(earlier.figures);
const rows = [...flatten(latest.figures)].map(([name, value]) => {
  const old = earlierFigures.get(name);
  const ratio = old ? Math.round((value / old) * 1_000) / 1_000 : NaN;
  return {name, earlier: old ?? NaN, latest: value, ratio};
});
console.table(rows);

/** Maps the dotted path of each nested number to its value. */
function flatten(value: unknown, path = ''): Map<string, number> {
  const numbers = new Map<string, number>();
  if (typeof value === 'number') numbers.set(path, value);
  if (typeof value !== 'object' || value === null) return numbers;
  for (const [key, part] of Object.entries(value)) {
    const name = path === '' ? key : `${path}.${key}`;
    for (const [innerPath, number] of flatten(part, name)) {
      numbers.set(innerPath, number);
    }
  }
  return numbers;
}
