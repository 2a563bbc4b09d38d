import {readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';

// Prints the newest figures of a bench against an earlier run as ratios.
// npm run bench:compare -- --bench processes [--back 1]

interface Line {
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
const text = readFileSync('bench/history.jsonl', 'utf8');
const lines = text
  .split('\n')
  .filter(line => line !== '')
  .map(line => JSON.parse(line) as Line)
  .filter(line => line.bench === values.bench);
const latest = lines.at(-1);
const earlier = lines.at(-1 - Number(values.back));
if (!latest || !earlier) {
  console.error(`bench ${values.bench}: fewer runs than asked for`);
  process.exit(1);
}
console.log(`earlier ${earlier.commit} at ${earlier.at}, load ${earlier.load}`);
console.log(`latest  ${latest.commit} at ${latest.at}, load ${latest.load}`);
const before = flatten(earlier.figures);
const rows = [...flatten(latest.figures)].map(([name, value]) => {
  const old = before.get(name);
  const ratio = old ? Math.round((value / old) * 1_000) / 1_000 : NaN;
  return {name, earlier: old ?? NaN, latest: value, ratio};
});
console.table(rows);

/** Numbers of nested figures by their dotted path. */
function flatten(value: unknown, path = ''): Map<string, number> {
  const numbers = new Map<string, number>();
  if (typeof value === 'number') numbers.set(path, value);
  if (typeof value !== 'object' || value === null) return numbers;
  for (const [key, part] of Object.entries(value)) {
    const name = path === '' ? key : `${path}.${key}`;
    for (const [inner, number] of flatten(part, name)) {
      numbers.set(inner, number);
    }
  }
  return numbers;
}
