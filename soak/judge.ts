/** What a customer's request was when it was sent. */
export interface Sent {
  readonly id: string;
  readonly path: string;
  readonly body: string;
  readonly repeatable: boolean;
  /** Service of the instance at which the request began. */
  readonly caller: string;
}

/** What a customer saw of an answer; `status` 0 for a closed connection. */
export interface Seen {
  readonly status: number;
  readonly signature?: string;
  readonly body: string;
  /** True when the answer ended before its announced length. */
  readonly cut: boolean;
}

interface Known {
  readonly sent: Sent;
  runs: number;
  arrivals: number;
  /** True once a status has promised that the request never runs. */
  promised: boolean;
}

/** Bounds that the daemons were told in their settings. */
export interface Bounds {
  readonly drainMs: number;
  readonly evacMs: number;
  readonly coldOver: number;
  readonly coldSlack: number;
  readonly resendRatio: number;
  readonly resendSlack: number;
  readonly resendWindowMs: number;
}

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** Checks the promises from what customers and upstreams see. */
export class Judge {
  readonly broken: string[] = [];
  readonly statuses = new Map<number, number>();
  readonly #requests = new Map<string, Known>();
  readonly #first: number[] = [];
  readonly #repeats: number[] = [];

  constructor(
    private readonly bounds: Bounds,
    private readonly now: () => number,
    /** True when store and ways to it have been sound for a while. */
    private readonly isStable: () => boolean,
  ) {}

  #break(rule: string, detail: string): void {
    const at = (this.now() / 1_000).toFixed(2);
    this.broken.push(`${at} s ${rule}: ${detail}`);
  }

  noteSent(sent: Sent): void {
    this.#requests.set(sent.id, {
      sent,
      runs: 0,
      arrivals: 0,
      promised: false,
    });
    this.#first.push(this.now());
  }

  /** Notes that a request has reached an upstream that takes it. */
  noteArrival(upstream: string, seen: Omit<Sent, 'repeatable'>): void {
    const known = this.#requests.get(seen.id);
    if (!known) return this.#break('UNASKED', `${seen.id} at ${upstream}`);
    const {sent} = known;
    if (seen.path !== sent.path || seen.body !== sent.body) {
      this.#break('UNASKED', `${seen.id} was changed on its way`);
    }
    if (seen.caller !== sent.caller) {
      this.#break('UNASKED', `${seen.id} has the caller ${seen.caller}`);
    }
    known.arrivals++;
    known.runs++;
    if (known.arrivals > 1) this.#noteRepeat();
    if (sent.repeatable) return;
    if (known.runs > 1) this.#break('TWICE', `${seen.id} at ${upstream}`);
    if (known.promised) this.#break('REFUSED', `${seen.id} ran afterwards`);
  }

  #noteRepeat(): void {
    const now = this.now();
    this.#repeats.push(now);
    const {resendWindowMs, resendRatio, resendSlack} = this.bounds;
    const since = (times: number[], from: number) =>
      times.filter(at => at >= from).length;
    const repeats = since(this.#repeats, now - resendWindowMs);
    const first = since(this.#first, now - resendWindowMs);
    if (repeats > first * resendRatio + resendSlack) {
      this.#break('BUDGET', `${repeats} repeats beside ${first} requests`);
    }
  }

  /** Notes the answer that a customer got. */
  noteAnswer(id: string, seen: Seen, mayBreak: boolean): void {
    const {status} = seen;
    this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
    const known = this.#requests.get(id);
    if (!known) return;
    if (NOT_RUN.has(status)) {
      known.promised = true;
      if (!known.sent.repeatable && known.runs > 0) {
        this.#break('REFUSED', `${id} got ${status} and had run`);
      }
    }
    if (status === 404) this.#break('DENIED', `${id} got 404`);
    // A request that crosses the close of its connection has not arrived.
    if (status === 0 && !mayBreak && known.arrivals > 0) {
      this.#break('LOST', `${id} got no answer from a daemon that stops`);
    }
    if (status !== 200 || seen.cut) return;
    if (seen.signature !== `signed ${id}` || seen.body !== `body of ${id}`) {
      this.#break('MIXED', `${id} got ${seen.signature} ${seen.body}`);
    }
  }

  /** Notes a request that reached an upstream `ms` after it was to get none. */
  noteLate(rule: 'DRAIN' | 'EVAC', upstream: string, ms: number): void {
    const {drainMs, evacMs} = this.bounds;
    if (!this.isStable()) return;
    if (ms <= (rule === 'DRAIN' ? drainMs : evacMs)) return;
    this.#break(rule, `${upstream} got a request ${Math.round(ms)} ms late`);
  }

  /** Notes how many requests a cold upstream got within the last second. */
  noteCold(upstream: string, count: number, perS: number): void {
    const {coldOver, coldSlack} = this.bounds;
    if (count <= perS * coldOver + coldSlack) return;
    this.#break('FAILBACK', `${upstream} got ${count} requests in a second`);
  }

  /** Notes that a daemon served under an older version than before. */
  noteOlder(daemon: string, version: number, before: number): void {
    this.#break('CONFIG', `${daemon} went from ${before} to ${version}`);
  }

  /** Notes a daemon under an older version than it had to know by then. */
  noteBehind(daemon: string, version: number, wanted: number): void {
    this.#break('CONFIG', `${daemon} is at ${version}, not at ${wanted}`);
  }
}
