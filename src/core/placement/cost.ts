// What a request is likely to cost, from what is known before it runs.
import {
  type Distribution,
  addTime,
  createDistribution,
  getMeanMs,
} from './distribution.js';

/** Maximum number of routes; the one unused for longest is forgotten. */
const MAX_ROUTES = 256;

/** Maximum number of values of one feature of a route, likewise. */
const MAX_VALUES = 64;

/** Smoothing factor of the mean logarithm of the work of a value: a release that
 * changes the cost shows within some tens of answers. */
const MEAN_GAIN = 0.08;

/** Smoothing factor of the errors of the two predictions. */
const ERROR_GAIN = 0.02;

/** Share of the spread that a feature has to explain before it is used. */
const MIN_EXPLAINED = 0.2;

/** Answers of a route before a feature is used, so that chance explains nothing. */
const MIN_ANSWERS = 60;

/** Answers of a value before its mean is used. */
const MIN_VALUE_ANSWERS = 6;

/** Expected work of a route without an answer, as a share of its goal. */
const INITIAL_GOAL_SHARE = 0.5;

/** Lowest work, ms, so that logarithms stay bounded. */
const MIN_WORK_MS = 0.1;

/** Longest text of a feature that is kept, characters. */
const MAX_VALUE_LENGTH = 64;

/** What is known of a request before it runs. */
export interface RequestFeatures {
  readonly method: string;
  readonly target: string;
  /** Size of the body, bytes. */
  readonly bodyBytes: number;
  readonly organisation?: string;
}

/** Features by name; each reads a short text. Paths count by their shape, since a
 * set of a million paths would otherwise push everything else out. */
const FEATURES = {
  method: ({method}) => method,
  shape: ({target}) => describeShape(target),
  body: ({bodyBytes}) => String(Math.ceil(Math.log2(1 + bodyBytes))),
  organisation: ({organisation}) => organisation ?? '',
} satisfies Record<string, (features: RequestFeatures) => string>;

type FeatureName = keyof typeof FEATURES;

const FEATURE_NAMES = Object.keys(FEATURES) as FeatureName[];

interface ValueStats {
  /** Mean logarithm of the work, ms. */
  meanLog: number;
  /** Mean work, ms. */
  meanMs: number;
  answers: number;
}

interface FeatureStats {
  readonly values: Map<string, ValueStats>;
  /** Mean squared error of predictions by this feature. */
  error: number;
}

interface RouteCost {
  readonly work: Distribution;
  meanLog: number;
  answers: number;
  /** Mean squared error of predictions by the route alone. */
  error: number;
  readonly features: ReadonlyMap<FeatureName, FeatureStats>;
}

/** What requests cost, by route name. */
export type CostModel = Map<string, RouteCost>;

/** Expected work of a request. */
export interface CostEstimate {
  /** Mean time at an upstream of speed 1, ms. */
  readonly workMs: number;
  /** Work of the route; undefined before its first answer. */
  readonly work?: Distribution;
  /** Work of this request relative to the mean of its route. */
  readonly factor: number;
  /** What the estimate is taken from. */
  readonly source: FeatureName | 'route' | 'goal';
}

/** Expected work of a request, from the feature that explains most, or else the
 * route. */
export function estimateCost(
  model: CostModel,
  route: string,
  features: RequestFeatures,
  goalMs: number,
): CostEstimate {
  const known = model.get(route);
  const meanMs = known && getMeanMs(known.work);
  if (!known || meanMs === undefined) {
    return {workMs: goalMs * INITIAL_GOAL_SHARE, factor: 1, source: 'goal'};
  }
  const {work} = known;
  let workMs = meanMs;
  let source: CostEstimate['source'] = 'route';
  let explained = MIN_EXPLAINED;
  for (const [name, feature] of known.features) {
    const share = getExplained(known, feature);
    if (share < explained) continue;
    const value = feature.values.get(readFeature(name, features));
    if (!value || value.answers < MIN_VALUE_ANSWERS) continue;
    explained = share;
    source = name;
    workMs = value.meanMs;
  }
  return {workMs, work, factor: workMs / meanMs, source};
}

/** Records the work of a request that was answered, ms at speed 1. */
export function recordCost(
  model: CostModel,
  route: string,
  features: RequestFeatures,
  workMs: number,
): void {
  const log = Math.log(Math.max(MIN_WORK_MS, workMs));
  const known = model.get(route) ?? createRouteCost(log);
  touch(model, route, known, MAX_ROUTES);
  const routeError = log - known.meanLog;
  known.error += ERROR_GAIN * (routeError ** 2 - known.error);
  known.answers++;
  for (const [name, feature] of known.features) {
    const text = readFeature(name, features);
    const value = feature.values.get(text);
    // The error counts before the value learns, so a value that never comes
    // again explains nothing.
    const predicted =
      value && value.answers >= MIN_VALUE_ANSWERS
        ? value.meanLog
        : known.meanLog;
    feature.error += ERROR_GAIN * ((log - predicted) ** 2 - feature.error);
    const next = value ?? {meanLog: log, meanMs: workMs, answers: 0};
    next.answers++;
    const gain = computeGain(next.answers);
    next.meanLog += gain * (log - next.meanLog);
    next.meanMs += gain * (workMs - next.meanMs);
    touch(feature.values, text, next, MAX_VALUES);
  }
  known.meanLog += computeGain(known.answers) * routeError;
  addTime(known.work, Math.max(MIN_WORK_MS, workMs));
}

/** Share of the spread of each route that each feature explains, 0 to 1, and
 * whether it is used. */
export function listExplained(
  model: CostModel,
): Array<{route: string; feature: string; share: number; used: boolean}> {
  return [...model].flatMap(([route, known]) =>
    [...known.features].map(([name, feature]) => {
      const share = getExplained(known, feature);
      return {route, feature: name, share, used: share >= MIN_EXPLAINED};
    }),
  );
}

function createRouteCost(log: number): RouteCost {
  const features = FEATURE_NAMES.map((name): [FeatureName, FeatureStats] => [
    name,
    {values: new Map(), error: 0},
  ]);
  return {
    work: createDistribution(),
    meanLog: log,
    answers: 0,
    error: 0,
    features: new Map(features),
  };
}

function getExplained(route: RouteCost, {error}: FeatureStats): number {
  if (route.answers < MIN_ANSWERS || route.error <= 0) return 0;
  return Math.max(0, 1 - error / route.error);
}

/** A plain mean over the first answers, then a moving one. */
function computeGain(answers: number): number {
  return Math.max(MEAN_GAIN, 1 / answers);
}

function readFeature(name: FeatureName, features: RequestFeatures): string {
  return FEATURES[name](features).slice(0, MAX_VALUE_LENGTH);
}

/** Depth of a path and the kind of each of its parts. */
function describeShape(target: string): string {
  const path = target.split('?', 1)[0].slice(0, 512);
  return path.split('/').slice(1, 9).map(describePart).join('/');
}

/** Words of lower case letters are names of what is asked for; the rest are ids. */
function describePart(part: string): string {
  if (/^[a-z_-]{0,16}$/.test(part)) return part;
  return /^\d+$/.test(part) ? '0' : '*';
}

/** Puts an entry at the end of a map, and forgets the first one beyond `most`. */
function touch<T>(
  map: Map<string, T>,
  key: string,
  value: T,
  most: number,
): void {
  map.delete(key);
  map.set(key, value);
  if (map.size <= most) return;
  const [oldest] = map.keys();
  map.delete(oldest);
}
