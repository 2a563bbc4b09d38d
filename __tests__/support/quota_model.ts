import {
  type Places,
  type QuotaDaemon,
  type QuotaTerms,
  QUOTA_ASK_TIMEOUT_MS,
  answerQuotaMessage,
  createQuotaDaemon,
  createRandom,
  createTokenBucket,
  listGranters,
  refreshQuotaPlaces,
  takeQuota,
  takeToken,
} from '../../src/internal.js';

/** Window and margins of the bound that all daemons keep together. */
export const WINDOW_MS = 5_000;
const OVER = 0.25;
const SLACK = 20;

/** Longest time for which a request of the model waits for a token, ms. */
const MAX_WAIT_MS = 100;

/** Options of a model of daemons that share quotas. */
export interface ModelOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly dataCentres?: number;
  readonly terms: readonly QuotaTerms[];
  /** Longest time of a message on its way, ms. */
  readonly delayMs?: number;
  /** Part of the messages that are lost. */
  readonly loss?: number;
}

/** A request that was let through. */
export interface Pass {
  readonly at: number;
  readonly daemon: number;
}

/** Daemons on a virtual clock. */
export interface QuotaModel {
  readonly now: () => number;
  /** Host of each daemon. */
  readonly hosts: readonly string[];
  /** Data centre of each host. */
  readonly places: Map<string, string>;
  /** Requests let through, by organisation. */
  readonly passed: Map<string, Pass[]>;
  /** Refused requests, by organisation. */
  readonly refused: Map<string, Pass[]>;
  /** Messages that each host received. */
  readonly received: Map<string, number>;
  /** Adds a daemon that others know from now on. */
  join(): number;
  /** Ends the process of a daemon; its messages get no answer. */
  kill(daemon: number): void;
  /** Starts the process of a daemon without its state. */
  start(daemon: number): void;
  /** Sets which daemons reach each other. */
  setReach(reaches: (from: number, to: number) => boolean): void;
  /** Changes a quota at one daemon. */
  setTerms(daemon: number, terms: QuotaTerms): void;
  /** Sends one request of an organisation to a daemon. */
  request(daemon: number, name: string): void;
  /** Runs `run` at a time. */
  at(ms: number, run: () => void): void;
  /** Sends requests at random times, at a rate, to a daemon chosen for each. */
  load(
    name: string,
    perS: number,
    fromMs: number,
    untilMs: number,
    pick: (random: () => number) => number,
  ): void;
  /** Advances the clock. */
  runUntil(ms: number): void;
  /** Index of the home of an organisation. */
  findHome(name: string): number;
}

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Creates a model whose daemons have just started. */
export function createQuotaModel(options: ModelOptions): QuotaModel {
  const {dataCentres = 3, delayMs = 4, loss = 0} = options;
  const random = createRandom(options.seed);
  let clock = 0;
  let order = 0;
  const events = createEventQueue();
  const at = (ms: number, run: () => void): void => {
    events.push({at: Math.max(ms, clock), order: order++, run});
  };
  const hosts: string[] = [];
  let places: Map<string, string> = new Map();
  const terms: Map<string, QuotaTerms>[] = [];
  const daemons: (QuotaDaemon | undefined)[] = [];
  const passed = new Map<string, Pass[]>();
  const refused = new Map<string, Pass[]>();
  const received = new Map<string, number>();
  for (const {name} of options.terms) {
    passed.set(name, []);
    refused.set(name, []);
  }
  let reaches: (from: number, to: number) => boolean = () => true;
  const arrives = (from: number, to: number): boolean =>
    reaches(from, to) && random() >= loss;
  const delay = (): number => 0.5 + random() * delayMs;

  const start = (index: number): void => {
    const host = hosts[index];
    const daemon: QuotaDaemon = createQuotaDaemon({
      host,
      dataCentre: places.get(host) ?? '',
      boot: `${host}-${order}`,
      now: () => clock,
      random,
      later: (ms, run) =>
        at(clock + ms, () => {
          if (daemons[index] === daemon) run();
        }),
      readPlaces: (): Places => places,
      findTerms: name => terms[index].get(name),
      send(target, message, done) {
        let open = true;
        const finish = (reply: Parameters<typeof done>[0]): void => {
          if (!open || daemons[index] !== daemon) return;
          open = false;
          done(reply);
        };
        at(clock + QUOTA_ASK_TIMEOUT_MS, () => finish(undefined));
        const to = hosts.indexOf(target);
        if (!arrives(index, to)) return;
        at(clock + delay(), () => {
          const peer = daemons[to];
          // The kernel of a daemon that has ended refuses the connection.
          if (!peer) return at(clock + delay(), () => finish(undefined));
          received.set(target, (received.get(target) ?? 0) + 1);
          const reply = answerQuotaMessage(peer, message);
          if (arrives(to, index)) at(clock + delay(), () => finish(reply));
        });
      },
    });
    daemons[index] = daemon;
  };
  const join = (): number => {
    const index = hosts.length;
    const host = `10.0.${index >> 8}.${index & 255}`;
    hosts.push(host);
    places = new Map([...places, [host, `dc${index % dataCentres}`]]);
    terms.push(new Map(options.terms.map(item => [item.name, item])));
    start(index);
    for (const daemon of daemons) if (daemon) refreshQuotaPlaces(daemon);
    return index;
  };
  for (let i = 0; i < options.daemons; i++) join();

  const request = (index: number, name: string): void => {
    const daemon = daemons[index];
    const quota = terms[index].get(name);
    if (!daemon || !quota) return;
    const record = ({granted}: {granted: boolean}): void => {
      const list = (granted ? passed : refused).get(name);
      list?.push({at: clock, daemon: index});
    };
    const decision = takeQuota(daemon, quota, MAX_WAIT_MS, record);
    if (decision) record(decision);
  };
  return {
    now: () => clock,
    hosts,
    get places() {
      return places;
    },
    passed,
    refused,
    received,
    join,
    kill: index => (daemons[index] = undefined),
    start,
    setReach: next => (reaches = next),
    setTerms: (index, quota) => terms[index].set(quota.name, quota),
    request,
    at,
    load(name, perS, fromMs, untilMs, pick) {
      const step = (time: number): void => {
        const next = time - (Math.log(1 - random()) * 1_000) / perS;
        if (next >= untilMs) return;
        at(next, () => {
          request(pick(random), name);
          step(next);
        });
      };
      step(fromMs);
    },
    runUntil(ms) {
      for (let event = events.peek(); event && event.at <= ms;) {
        events.pop();
        clock = event.at;
        event.run();
        event = events.peek();
      }
      clock = ms;
    },
    findHome: name => hosts.indexOf(listGranters(name, places, '')[0]),
  };
}

/** Largest excess of requests in a window over the bound; negative when it is
 * kept. */
export function measureExcess(
  passes: readonly Pass[],
  {ratePerS, burst}: QuotaTerms,
  fromMs = 0,
): number {
  const bound = ((ratePerS * WINDOW_MS) / 1_000 + burst) * (1 + OVER) + SLACK;
  const times = passes.map(({at}) => at).filter(at => at >= fromMs);
  let most = 0;
  for (let first = 0, last = 0; last < times.length; last++) {
    while (times[last] - times[first] > WINDOW_MS) first++;
    most = Math.max(most, last - first + 1);
  }
  return most - bound;
}

/** Counts what one bucket for all daemons lets through of the same requests. */
export function countIdeal(
  requests: readonly Pass[],
  {ratePerS, burst}: QuotaTerms,
  fromMs: number,
  untilMs: number,
): number {
  const bucket = createTokenBucket(ratePerS, burst, 0);
  const sorted = requests.toSorted((a, b) => a.at - b.at);
  return sorted.filter(
    ({at}) => takeToken(bucket, at) && at >= fromMs && at < untilMs,
  ).length;
}

/** Counts the requests of a span of time. */
export function countBetween(
  passes: readonly Pass[],
  fromMs: number,
  untilMs: number,
): number {
  return passes.filter(({at}) => at >= fromMs && at < untilMs).length;
}

/** Priority queue of events by time, then by order of creation. */
function createEventQueue() {
  const heap: Event[] = [];
  const isBefore = (a: Event, b: Event): boolean =>
    a.at < b.at || (a.at === b.at && a.order < b.order);
  return {
    peek: (): Event | undefined => heap.at(0),
    push(event: Event): void {
      heap.push(event);
      for (let i = heap.length - 1; i > 0;) {
        const parent = (i - 1) >> 1;
        if (!isBefore(heap[i], heap[parent])) break;
        [heap[i], heap[parent]] = [heap[parent], heap[i]];
        i = parent;
      }
    },
    pop(): void {
      const last = heap.pop();
      if (last === undefined || heap.length === 0) return;
      heap[0] = last;
      for (let i = 0; ;) {
        const left = 2 * i + 1;
        if (left >= heap.length) break;
        const right = left + 1;
        const child =
          right < heap.length && isBefore(heap[right], heap[left])
            ? right
            : left;
        if (!isBefore(heap[child], heap[i])) break;
        [heap[i], heap[child]] = [heap[child], heap[i]];
        i = child;
      }
    },
  };
}
