import {build, type Histogram} from 'hdr-histogram-js';
import type {Gauge as GaugeClass, Registry} from 'prom-client';
import {
  listLargestCounts,
  type Counters,
  type OrganisationCounts,
} from '../internal.js';

/** Largest latency that a histogram records, µs (one hour). */
const MAX_LATENCY_US = 3_600_000_000;

/** Percentiles exported for each histogram. */
const PERCENTILES = [50, 90, 99, 99.9];

/** Latency histograms of one daemon, µs, by name. */
export interface Metrics {
  readonly histograms: Map<string, Histogram>;
}

/** Creates empty metrics. */
export function createMetrics(): Metrics {
  return {histograms: new Map()};
}

/** Records one latency, ms. */
export function recordLatency(
  metrics: Metrics,
  name: string,
  ms: number,
): void {
  let histogram = metrics.histograms.get(name);
  if (!histogram) {
    histogram = build({
      highestTrackableValue: MAX_LATENCY_US,
      numberOfSignificantValueDigits: 2,
      bitBucketSize: 64,
    });
    metrics.histograms.set(name, histogram);
  }
  const us = Math.round(ms * 1_000);
  histogram.recordValue(Math.min(Math.max(us, 0), MAX_LATENCY_US));
}

/** Renders counters, gauges and percentiles in the Prometheus text format. */
export async function renderMetrics(
  board: Counters,
  metrics: Metrics,
  gauges: Record<string, number>,
  organisations?: OrganisationCounts,
): Promise<string> {
  // Loaded when asked for: most daemons end without a look at their metrics.
  const {Counter, Gauge, Registry} = await import('prom-client');
  const registry = new Registry();
  // A reader that cuts a long page off still gets the state of the daemon.
  // Counters come last, as each route adds some.
  for (const [name, value] of Object.entries(gauges)) {
    const gauge = new Gauge({
      name: toMetricName(name),
      help: `Current ${name}.`,
      registers: [registry],
    });
    gauge.set(value);
  }
  for (const [name, histogram] of metrics.histograms) {
    const gauge = new Gauge({
      name: toMetricName(name, '_seconds'),
      help: `Percentiles of ${name}.`,
      labelNames: ['quantile'],
      registers: [registry],
    });
    for (const percentile of PERCENTILES) {
      const us = histogram.getValueAtPercentile(percentile);
      gauge.set({quantile: String(percentile / 100)}, us / 1_000_000);
    }
  }
  for (const [name, value] of board.counters) {
    const counter = new Counter({
      name: toMetricName(name, '_total'),
      help: `Count of ${name}.`,
      registers: [registry],
    });
    counter.inc(value);
  }
  if (organisations) registerOrganisations(organisations, Gauge, registry);
  return registry.metrics();
}

/** Registers the counts of the largest organisations and those of the rest. They
 * are gauges, as the rest falls when one of it becomes large. */
function registerOrganisations(
  organisations: OrganisationCounts,
  Gauge: typeof GaugeClass,
  registry: Registry,
): void {
  const {largest, rest} = listLargestCounts(organisations);
  if (largest.length === 0 && rest.size === 0) return;
  const shown = new Gauge({
    name: toMetricName('organisation_requests'),
    help: 'Ended requests of the largest organisations since the start.',
    labelNames: ['organisation', 'result'],
    registers: [registry],
  });
  for (const {name, results} of largest) {
    for (const [result, n] of results) {
      shown.set({organisation: name, result}, n);
    }
  }
  const others = new Gauge({
    name: toMetricName('organisation_requests_rest'),
    help: 'Ended requests of all other organisations since the start.',
    labelNames: ['result'],
    registers: [registry],
  });
  for (const [result, n] of rest) others.set({result}, n);
}

function toMetricName(name: string, suffix = ''): string {
  const snake = name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
  const safe = snake.replace(/[^a-z0-9_]/g, '_');
  return `berylbend_${safe}${safe.endsWith(suffix) ? '' : suffix}`;
}
