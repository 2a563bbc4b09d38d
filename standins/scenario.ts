import {parse} from 'yaml';
import * as z from 'zod';
import {checkDocument, MEMBER_STATES, type Document} from '../src/internal.js';
import {loadExample} from './example.js';

const UNIT_MS: Record<string, number> = {ms: 1, s: 1_000, min: 60_000};

/** Schema of durations such as `300 ms`, `6 s` or `2 min`; parsed to ms. */
export const durationSchema = z
  .string()
  .regex(/^\d+(\.\d+)? (ms|s|min)$/)
  .transform(text => {
    const [value, unit] = text.split(' ');
    return Number(value) * UNIT_MS[unit];
  });

const NAME_SCHEMA = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/);

/** Daemon ids, data centres or services; `all`; `half` is every second. */
const SELECTION_SCHEMA = z
  .union([NAME_SCHEMA, z.array(NAME_SCHEMA).min(1)])
  .transform(value => (typeof value === 'string' ? [value] : value));

const COUNT_SCHEMA = z.int().min(0);
const RANGE_SCHEMA = z.strictObject({
  atLeast: COUNT_SCHEMA.optional(),
  atMost: COUNT_SCHEMA.optional(),
});

const publishSchema = z.strictObject({
  /** New values by JSON pointer. */
  set: z.record(z.string().startsWith('/'), z.unknown()).optional(),
  /** RFC 6902 operations that `set` cannot express. */
  ops: z.array(z.looseObject({op: z.string(), path: z.string()})).optional(),
  /** Base version; defaults to the newest accepted version. */
  base: z.int().min(1).optional(),
  author: z.string().default('operator'),
});

const loadSchema = z.strictObject({
  path: z.string().startsWith('/'),
  method: z.enum(['GET', 'POST']).default('GET'),
  perSecond: z.number().positive().max(200),
  for: durationSchema,
  /** Entries that receive the requests. */
  at: SELECTION_SCHEMA.default(['all']),
  /** Whether each request crashes the upstream that runs it. */
  crashes: z.boolean().default(false),
  /** Resends of each operation, with a bound key; without a key if 0. */
  repeats: z.int().min(0).max(5).default(0),
});

const expectSchema = z.strictObject({
  /** Time within which the expectation must hold, ms. */
  within: durationSchema.default(0),
  /** Daemons to check; paused and stopped ones are skipped. */
  at: SELECTION_SCHEMA.default(['all']),
  inForce: z.union([z.literal('newest'), z.int().min(1)]).optional(),
  confirmed: z.boolean().optional(),
  viewStale: z.boolean().optional(),
  /** Substring of the reason of a refused entry. */
  refusedEntry: z.string().optional(),
  /** State of the members `which` in the view of the daemons `at`. */
  sees: z
    .strictObject({
      which: SELECTION_SCHEMA,
      as: z.enum([...MEMBER_STATES, 'unknown']),
    })
    .optional(),
  /** Peak source calls per second since the start or the last check. */
  sourceCallsPerSecond: RANGE_SCHEMA.optional(),
  answered: RANGE_SCHEMA.optional(),
  refused: RANGE_SCHEMA.optional(),
  /** Requests that may have run. */
  unclear: RANGE_SCHEMA.optional(),
  /** Allowed refusal reasons. */
  reasons: z.array(z.string()).optional(),
  runsPerOperation: RANGE_SCHEMA.extend({
    /** Path prefix of the operations to check. */
    path: z.string().optional(),
  }).optional(),
  /** Lowest version put in force since the start or the last check. */
  lowestServed: RANGE_SCHEMA.optional(),
  /** Upstream crashes; `fallOvers` are cold upstreams that were overloaded. */
  crashes: RANGE_SCHEMA.optional(),
  fallOvers: RANGE_SCHEMA.optional(),
  /** Daemons of which none has started a run within this time. */
  noNewWork: z
    .strictObject({in: SELECTION_SCHEMA, for: durationSchema})
    .optional(),
  /** Daemons of which at least one has started a run within this time. */
  newWork: z
    .strictObject({in: SELECTION_SCHEMA, for: durationSchema})
    .optional(),
});

/** Schemas of step arguments by name; a step has exactly one of these keys. */
export const STEP_SCHEMAS = {
  advance: durationSchema,
  publish: publishSchema,
  'take-out': NAME_SCHEMA,
  'bring-back': NAME_SCHEMA,
  /** Partitions daemons from all others; `source`: also from the platform. */
  cut: z.strictObject({
    which: SELECTION_SCHEMA,
    source: z.boolean().default(true),
  }),
  heal: z.literal('all'),
  pause: SELECTION_SCHEMA,
  resume: SELECTION_SCHEMA,
  kill: SELECTION_SCHEMA,
  restart: SELECTION_SCHEMA,
  /** Sets the offset of wall clocks. */
  skew: z.strictObject({
    which: SELECTION_SCHEMA,
    by: durationSchema,
    behind: z.boolean(),
  }),
  /** Changes the state of the daemons' local upstreams. */
  upstreams: z.strictObject({
    which: SELECTION_SCHEMA,
    do: z.enum(['stall', 'release', 'crash', 'restart', 'chill']),
  }),
  source: z.enum(['up', 'down', 'stale', 'backwards']),
  load: loadSchema,
  expect: expectSchema,
} as const;

/** Name of a step. */
export type StepName = keyof typeof STEP_SCHEMAS;

/** Arguments of a step. */
export type StepArgs<N extends StepName> = z.infer<(typeof STEP_SCHEMAS)[N]>;

/** One step of a scenario. */
export type Step = {[N in StepName]: {name: N; args: StepArgs<N>}}[StepName];

const stepSchema = z.record(z.string(), z.unknown()).transform((raw, ctx) => {
  const [name, ...more] = Object.keys(raw);
  if (more.length > 0 || !Object.hasOwn(STEP_SCHEMAS, name ?? '')) {
    const names = Object.keys(STEP_SCHEMAS).join(', ');
    ctx.addIssue(`a step has exactly one key of: ${names}`);
    return z.NEVER;
  }
  const parsed = STEP_SCHEMAS[name as StepName].safeParse(raw[name]);
  if (!parsed.success) {
    for (const issue of parsed.error.issues) {
      ctx.addIssue({
        code: 'custom',
        message: issue.message,
        path: [name, ...issue.path],
      });
    }
    return z.NEVER;
  }
  return {name, args: parsed.data} as Step;
});

/** Finds which of `names` a scenario uses as step or argument names. */
export function findUsedNames(
  {steps}: Scenario,
  names: ReadonlySet<string>,
): string[] {
  const used = steps.flatMap(({name, args}) => [
    name,
    ...(typeof args === 'object' ? Object.keys(args) : []),
  ]);
  return [...new Set(used)].filter(name => names.has(name));
}

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  title: z.string().min(10),
  /** Simulated faults, quoted from section 1.2 of the design page. */
  faults: z.array(z.string()).default([]),
  given: z.strictObject({
    /** Name of an example deployment, or an inline document. */
    document: z.union([NAME_SCHEMA, z.looseObject({})]),
    dataCentres: z.array(NAME_SCHEMA).min(1),
    /** Number of upstreams per data centre, by service. */
    services: z.record(NAME_SCHEMA, z.int().min(1).max(10)),
    seed: z.int().default(1),
  }),
  steps: z.array(stepSchema).min(1),
});

/** Validated scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;

/** Parses a scenario file; the thrown error lists all validation errors. */
export function parseScenario(text: string): Scenario {
  const parsed = scenarioSchema.safeParse(parse(text));
  if (parsed.success) return parsed.data;
  const faults = parsed.error.issues.map(
    issue => `${issue.path.join('.')}: ${issue.message}`,
  );
  throw new Error(faults.join('\n'));
}

/** Daemon of a scenario. */
export interface ScenarioDaemon {
  id: string;
  dataCentre: string;
  service: string;
}

/** Lists the daemons, named `<data centre>-<n>` in the order of services. */
export function listDaemons(given: Scenario['given']): ScenarioDaemon[] {
  return given.dataCentres.flatMap(dataCentre =>
    Object.entries(given.services)
      .flatMap(([service, size]) => Array<string>(size).fill(service))
      .map((service, i) => ({id: `${dataCentre}-${i}`, dataCentre, service})),
  );
}

/** Returns the daemon ids of a selection; throws if a name matches none. */
export function selectDaemons(
  daemons: readonly ScenarioDaemon[],
  which: readonly string[],
): string[] {
  const ids = new Set<string>();
  for (const name of which) {
    const found = daemons.filter(
      ({id, dataCentre, service}, i) =>
        name === 'all' ||
        (name === 'half' && i % 2 === 0) ||
        [id, dataCentre, service].includes(name),
    );
    if (found.length === 0) throw new Error(`no daemon matches ${name}`);
    for (const {id} of found) ids.add(id);
  }
  return [...ids];
}

/** Returns the document of a scenario; throws if it is invalid. */
export function resolveDocument(given: Scenario['given']): Document {
  if (typeof given.document === 'string') return loadExample(given.document);
  const checked = checkDocument(given.document);
  if (!checked.ok) throw new Error(checked.faults.join('; '));
  return checked.value;
}
