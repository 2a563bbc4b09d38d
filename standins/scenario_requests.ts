import {HEADERS, KEYS_PATH, type Random} from '../src/internal.js';
import type {Customer, CustomerRequest} from './customer.js';
import type {Fleet} from './fleet.js';
import type {StepArgs} from './scenario.js';

/** Interval between resends of one operation, ms. */
const REPEAT_INTERVAL_MS = 700;

/** Scenario that is running on separate processes. */
export interface ScenarioRun {
  readonly fleet: Fleet;
  readonly customer: Customer;
  readonly random: Random;
  readonly counts: {
    sent: number;
    answered: number;
    refused: number;
    unclear: number;
    reasons: Record<string, number>;
  };
  readonly paused: Set<string>;
  readonly timers: Set<NodeJS.Timeout>;
  callsPerSecond: number[];
  select(which: readonly string[]): string[];
}

/** Waits for `ms`. */
export function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Starts a load that continues during the following steps. */
export function startLoad(run: ScenarioRun, load: StepArgs<'load'>): void {
  const entries = run.select(load.at);
  let left = Math.round((load.perSecond * load.for) / 1_000);
  const timer = setInterval(() => {
    if (left-- <= 0) {
      clearInterval(timer);
      return;
    }
    const operation = `${load.path}#${run.counts.sent}`;
    void sendOperation(run, load, entries, operation);
  }, 1_000 / load.perSecond);
  run.timers.add(timer);
}

/** Chooses a random reachable entry, as a customer would. */
function chooseUrl(
  run: ScenarioRun,
  entries: readonly string[],
): string | undefined {
  const usable = entries
    .filter(id => !run.paused.has(id))
    .map(id => run.fleet.get(id).daemon)
    .filter(daemon => daemon.isRunning());
  return usable[Math.floor(run.random() * usable.length)]?.customerUrl;
}

async function sendOperation(
  run: ScenarioRun,
  {path, method, repeats, crashes}: StepArgs<'load'>,
  entries: readonly string[],
  operation: string,
): Promise<void> {
  // All crashing requests are resends of the same operation.
  const name = crashes ? path : operation;
  const req: CustomerRequest = {
    path: `${path}?op=${encodeURIComponent(name)}`,
    method,
    headers: crashes ? {'x-crash': '1'} : {},
    body: method === 'POST' ? '{}' : undefined,
  };
  if (repeats === 0) return sendCounted(run, entries, req);
  const url = chooseUrl(run, entries);
  if (!url) return;
  try {
    const keyAnswer = await run.customer.send(url, {
      path: `${KEYS_PATH}?path=${path}&method=${method}`,
      method: 'POST',
    });
    if (!keyAnswer.key) return;
    req.headers = {...req.headers, [HEADERS.key]: keyAnswer.key};
  } catch {
    return;
  }
  for (let i = 0; i <= repeats; i++) {
    void sendCounted(run, entries, req);
    await delay(REPEAT_INTERVAL_MS);
  }
}

async function sendCounted(
  run: ScenarioRun,
  entries: readonly string[],
  req: CustomerRequest,
): Promise<void> {
  const {counts} = run;
  const url = chooseUrl(run, entries);
  if (!url) return;
  counts.sent++;
  try {
    const {verdict, reason} = await run.customer.send(url, req);
    if (verdict === 'ran') counts.answered++;
    else if (verdict === 'not-run') {
      counts.refused++;
      counts.reasons[reason] = (counts.reasons[reason] ?? 0) + 1;
    } else counts.unclear++;
  } catch {
    counts.unclear++;
  }
}
