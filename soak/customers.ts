import {Agent, request} from 'node:http';
import type {Checker, ReceivedAnswer, SentRequest} from './checker.js';
import {type Daemon, PORTS} from './daemons.js';

/** Deadline of each request, ms. */
export const CUSTOMER_DEADLINE_MS = 1_000;

/** Timeout of each route, ms. */
export const ROUTE_TIMEOUT_MS = 900;

/** Creates a read or a booking of one of the two services. */
export function createRequest(
  prefix: string,
  n: number,
  caller: string,
  random: () => number,
): SentRequest {
  const isBooking = random() < 0.4;
  const service = random() < 0.5 ? 'a' : 'b';
  return {
    id: `${prefix}${n}`,
    path: `/${isBooking ? 'book' : 'read'}-${service}/${n}`,
    body: isBooking ? `order ${n}` : '',
    idempotent: !isBooking,
    caller,
  };
}

/** Sends one request; resolves to status 0 when its connection breaks. */
export function sendRequest(
  daemon: Daemon,
  agent: Agent | false,
  {id, path, body}: Pick<SentRequest, 'id' | 'path' | 'body'>,
): Promise<ReceivedAnswer> {
  return new Promise(resolve => {
    const fail = () => resolve({status: 0, body: '', cut: true});
    const req = request(
      {
        host: daemon.host,
        port: PORTS.customer,
        path,
        method: body === '' ? 'GET' : 'POST',
        agent,
        headers: {
          host: 'shop.example',
          'x-request-id': id,
          'x-deadline-ms': String(CUSTOMER_DEADLINE_MS),
        },
      },
      res => {
        let answerBody = '';
        const {statusCode: status = 0, headers} = res;
        const stamp = headers['x-server-stamp'] as string | undefined;
        const requestId = headers['x-request-id'] as string | undefined;
        const received = {status, stamp, requestId};
        res.setEncoding('utf8');
        res.on('data', chunk => (answerBody += chunk));
        res.on('end', () =>
          resolve({...received, body: answerBody, cut: false}),
        );
        res.on('error', () =>
          resolve({...received, body: answerBody, cut: true}),
        );
      },
    );
    req.on('error', fail);
    req.setTimeout(2 * CUSTOMER_DEADLINE_MS, () => req.destroy());
    req.end(body);
  });
}

/** Sends reads and bookings to random daemons; returns a stop function. */
export function startCustomers(
  daemons: ReadonlyArray<Daemon & {service?: string}>,
  services: ReadonlyMap<string, string>,
  checker: Checker,
  requestsPerSecond: number,
  random: () => number,
  now: () => number,
): () => Promise<void> {
  const agents = new Map(
    daemons.map(({name}) => [
      name,
      new Agent({keepAlive: true, maxSockets: 8}),
    ]),
  );
  const inFlight = new Set<Promise<void>>();
  let count = 0;
  const sendNext = async (): Promise<void> => {
    const daemon = daemons[Math.floor(random() * daemons.length)];
    const caller = services.get(daemon.name) ?? '';
    const sent = createRequest('r', ++count, caller, random);
    if (!daemon.running) return;
    checker.recordSent(sent, Math.min(CUSTOMER_DEADLINE_MS, ROUTE_TIMEOUT_MS));
    const {incarnation} = daemon;
    const answer = await sendRequest(
      daemon,
      agents.get(daemon.name) ?? false,
      sent,
    );
    checker.recordAnswer(
      sent.id,
      answer,
      daemon.isDisrupted(now()) || daemon.incarnation !== incarnation,
    );
  };
  const timer = setInterval(() => {
    const sending = sendNext().finally(() => inFlight.delete(sending));
    inFlight.add(sending);
  }, 1_000 / requestsPerSecond);
  return async () => {
    clearInterval(timer);
    await Promise.all(inFlight);
    for (const agent of agents.values()) agent.destroy();
  };
}
