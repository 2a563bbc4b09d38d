import {parse} from 'yaml';
import {z} from 'zod';
import {checkDocument, MEMBER_STATES, type Document} from '../src/internal.js';
import {loadExample} from './example.js';

const UNIT_MS: Record<string, number> = {ms: 1, s: 1_000, min: 60_000};

/** Schema of a duration such as `300 ms`, `6 s` or `2 min`; becomes ms. */
export const durationSchema = z
  .string()
  .regex(/^\d+(\.\d+)? (ms|s|min)$/)
  .transform(text => {
    const [value, unit] = text.split(' ');
    return Number(value) * UNIT_MS[unit];
  });

const NAME_SCHEMA = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/);

/** Daemons by id, data centre or service; `all` and `half` by position. */
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
  /** RFC 6902 operations, for patches that `set` cannot express. */
  ops: z.array(z.looseObject({op: z.string(), path: z.string()})).optional(),
  /** Base version; the newest accepted one when absent. */
  base: z.int().min(1).optional(),
  author: z.string().default('operator'),
});

const loadSchema = z.strictObject({
  path: z.string().startsWith('/'),
  method: z.enum(['GET', 'POST']).default('GET'),
  perSecond: z.number().positive().max(200),
  for: durationSchema,
  /** Entries that the customers use. */
  at: SELECTION_SCHEMA.default(['all']),
  /** Each request crashes the upstream that runs it. */
  crashes: z.boolean().default(false),
  /** Each operation uses a bound key and is sent again at other entries. */
  repeats: z.int().min(0).max(5).default(0),
});

const expectSchema = z.strictObject({
  /** Time in which the expectation has to come true. */
  within: durationSchema.default(0),
  /** Daemons concerned; those that are paused or ended never are. */
  at: SELECTION_SCHEMA.default(['all']),
  inForce: z.union([z.literal('newest'), z.int().min(1)]).optional(),
  confirmed: z.boolean().optional(),
  viewStale: z.boolean().optional(),
  /** Part of the reason of a refused entry. */
  refusedEntry: z.string().optional(),
  /** State in which the daemons of `at` see others. */
  sees: z
    .strictObject({
      which: SELECTION_SCHEMA,
      as: z.enum([...MEMBER_STATES, 'unknown']),
    })
    .optional(),
  /** Most source calls within a second since the start or the last check. */
  sourceCallsPerSecond: RANGE_SCHEMA.optional(),
  answered: RANGE_SCHEMA.optional(),
  refused: RANGE_SCHEMA.optional(),
  /** Requests that may have run. */
  unclear: RANGE_SCHEMA.optional(),
  /** Reasons that refusals may have; any other reason fails. */
  reasons: z.array(z.string()).optional(),
  runsPerOperation: RANGE_SCHEMA.extend({
    /** Only operations on this path. */
    path: z.string().optional(),
  }).optional(),
  /** Lowest version put in force since the start or the last check. */
  lowestServed: RANGE_SCHEMA.optional(),
  /** Upstreams that have crashed, and those that did so from load when cold. */
  crashes: RANGE_SCHEMA.optional(),
  fallOvers: RANGE_SCHEMA.optional(),
  /** No run has started in these daemons for this long. */
  noNewWork: z
    .strictObject({in: SELECTION_SCHEMA, for: durationSchema})
    .optional(),
  /** Some run has started in these daemons within this time. */
  newWork: z
    .strictObject({in: SELECTION_SCHEMA, for: durationSchema})
    .optional(),
});

/** Schemas of the steps by name; a step is an object with one of these keys. */
export const STEP_SCHEMAS = {
  advance: durationSchema,
  publish: publishSchema,
  'take-out': NAME_SCHEMA,
  'bring-back': NAME_SCHEMA,
  /** Cuts the daemons off from all others, and from the platform. */
  cut: z.strictObject({
    which: SELECTION_SCHEMA,
    source: z.boolean().default(true),
  }),
  heal: z.literal('all'),
  pause: SELECTION_SCHEMA,
  resume: SELECTION_SCHEMA,
  kill: SELECTION_SCHEMA,
  restart: SELECTION_SCHEMA,
  /** Sets the error of wall clocks. */
  skew: z.strictObject({
    which: SELECTION_SCHEMA,
    by: durationSchema,
    behind: z.boolean(),
  }),
  /** Acts on the upstreams beside the daemons. */
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

/** Lists what a scenario needs of some steps and expectations, by name. */
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
  /** Faults of section 1.2 of the design page, in its words. */
  faults: z.array(z.string()).default([]),
  given: z.strictObject({
    /** Name of an example, or a whole document. */
    document: z.union([NAME_SCHEMA, z.looseObject({})]),
    dataCentres: z.array(NAME_SCHEMA).min(1),
    /** Upstreams of each service in each data centre. */
    services: z.record(NAME_SCHEMA, z.int().min(1).max(10)),
    seed: z.int().default(1),
  }),
  steps: z.array(stepSchema).min(1),
});

/** A checked scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;

/** Parses the text of a scenario file; throws an error with all faults. */
export function parseScenario(text: string): Scenario {
  const parsed = scenarioSchema.safeParse(parse(text));
  if (parsed.success) return parsed.data;
  const faults = parsed.error.issues.map(
    issue => `${issue.path.join('.')}: ${issue.message}`,
  );
  throw new Error(faults.join('\n'));
}

/** One daemon of a scenario. */
export interface ScenarioDaemon {
  id: string;
  dataCentre: string;
  service: string;
}

/** Daemons of a scenario: `<data centre>-<n>`, services in their order. */
export function listDaemons(given: Scenario['given']): ScenarioDaemon[] {
  return given.dataCentres.flatMap(dataCentre =>
    Object.entries(given.services)
      .flatMap(([service, size]) => Array<string>(size).fill(service))
      .map((service, i) => ({id: `${dataCentre}-${i}`, dataCentre, service})),
  );
}

/** Ids of the daemons that a selection names; throws for an unknown name. */
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

/** Document of a scenario; throws when it is invalid. */
export function resolveDocument(given: Scenario['given']): Document {
  if (typeof given.document === 'string') return loadExample(given.document);
  const checked = checkDocument(given.document);
  if (!checked.ok) throw new Error(checked.faults.join('; '));
  return checked.value;
}
