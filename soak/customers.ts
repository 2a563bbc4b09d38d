import {Agent, request} from 'node:http';
import type {Checker, ReceivedAnswer, SentRequest} from './checker.js';
import {type Daemon, PORTS} from './daemons.js';

/** Deadline of each request, ms. */
const CUSTOMER_DEADLINE_MS = 1_000;

/** Time after a disruption in which a daemon may fail to answer, ms. */
const RECOVERY_MS = 3_000;

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
        res.setEncoding('utf8');
        res.on('data', chunk => (answerBody += chunk));
        res.on('end', () =>
          resolve({status, stamp, body: answerBody, cut: false}),
        );
        res.on('error', () =>
          resolve({status, stamp, body: answerBody, cut: true}),
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
    const n = ++count;
    const isBooking = random() < 0.4;
    const service = random() < 0.5 ? 'a' : 'b';
    const sent: SentRequest = {
      id: `r${n}`,
      path: `/${isBooking ? 'book' : 'read'}-${service}/${n}`,
      body: isBooking ? `order ${n}` : '',
      idempotent: !isBooking,
      caller: services.get(daemon.name) ?? '',
    };
    if (!daemon.running) return;
    checker.recordSent(sent);
    const {incarnation} = daemon;
    const answer = await sendRequest(
      daemon,
      agents.get(daemon.name) ?? false,
      sent,
    );
    const hasRecovered = now() - daemon.disruptedAt > RECOVERY_MS;
    checker.recordAnswer(
      sent.id,
      answer,
      !hasRecovered || daemon.incarnation !== incarnation,
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
