import {Agent, request, type Dispatcher} from 'undici';
import {HEADERS, type Random} from '../src/internal.js';

/** Response that a customer receives. */
export interface CustomerAnswer {
  status: number;
  /** `berylbend-verdict`, empty when absent. */
  verdict: string;
  reason: string;
  /** `idempotency-key` of the response, empty when absent. */
  key: string;
  body: Buffer;
}

/** Request of a customer. */
export interface CustomerRequest {
  path: string;
  method?: Dispatcher.HttpMethod;
  headers?: Record<string, string>;
  body?: string;
}

/** HTTP client that acts as a customer. */
export interface Customer {
  send(baseUrl: string, req: CustomerRequest): Promise<CustomerAnswer>;
  close(): Promise<void>;
}

/** Creates a customer with its own connection pool. */
export function createCustomer(): Customer {
  const agent = new Agent({pipelining: 1, connections: 32});

  async function send(
    baseUrl: string,
    {path, method = 'GET', headers = {}, body}: CustomerRequest,
  ): Promise<CustomerAnswer> {
    const res = await request(`${baseUrl}${path}`, {
      dispatcher: agent,
      method,
      headers,
      body,
    });
    const read = (name: string) => String(res.headers[name] ?? '');
    return {
      status: res.statusCode,
      verdict: read(HEADERS.verdict),
      reason: read(HEADERS.reason),
      key: read(HEADERS.key),
      body: Buffer.from(await res.body.arrayBuffer()),
    };
  }

  return {send, close: () => agent.destroy()};
}

/** Request counts; `unclear` may have run, `failed` received no response. */
export interface LoadCounts {
  sent: number;
  answered: number;
  refused: number;
  unclear: number;
  failed: number;
  /** Refused, unclear and failed requests by reason. */
  reasons: Record<string, number>;
}

/** Load generator that runs until it is stopped. */
export interface Load {
  readonly counts: Readonly<LoadCounts>;
  /** Stops sending and waits for pending requests. */
  stop(): Promise<LoadCounts>;
}

/** Sends requests at a fixed rate to randomly chosen entries. */
export function startLoad(
  customer: Customer,
  entries: readonly string[],
  perSecond: number,
  createRequest: (n: number) => CustomerRequest,
  random: Random,
): Load {
  const counts: LoadCounts = {
    sent: 0,
    answered: 0,
    refused: 0,
    unclear: 0,
    failed: 0,
    reasons: {},
  };
  const pending = new Set<Promise<void>>();

  function countReason(reason: string): void {
    counts.reasons[reason] = (counts.reasons[reason] ?? 0) + 1;
  }

  async function sendOne(): Promise<void> {
    const entry = entries[Math.floor(random() * entries.length)];
    try {
      const answer = await customer.send(entry, createRequest(counts.sent++));
      if (answer.verdict === 'ran') {
        counts.answered++;
        return;
      }
      if (answer.verdict === 'not-run') counts.refused++;
      else counts.unclear++;
      countReason(answer.reason || String(answer.status));
    } catch (err) {
      counts.failed++;
      countReason(err instanceof Error ? err.message : 'error');
    }
  }

  const timer = setInterval(() => {
    const sending = sendOne().finally(() => pending.delete(sending));
    pending.add(sending);
  }, 1_000 / perSecond);

  async function stop(): Promise<LoadCounts> {
    clearInterval(timer);
    await Promise.all(pending);
    return counts;
  }

  return {counts, stop};
}
