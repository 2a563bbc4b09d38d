import {Agent, request} from 'node:http';
import type {Judge, Seen, Sent} from './judge.js';
import {type Daemon, PORTS} from './daemons.js';

/** Time that a customer waits for an answer, ms. */
const DEADLINE_MS = 1_000;

/** Time after a disruption for which a daemon is not bound to answer, ms. */
const TOUCH_MS = 3_000;

/** Sends one request; resolves to status 0 when its connection ended. */
export function send(
  daemon: Daemon,
  agent: Agent | false,
  {id, path, body}: Pick<Sent, 'id' | 'path' | 'body'>,
): Promise<Seen> {
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
          'x-deadline-ms': String(DEADLINE_MS),
        },
      },
      res => {
        let text = '';
        const {statusCode: status = 0, headers} = res;
        const signature = headers['x-server-stamp'] as string | undefined;
        res.setEncoding('utf8');
        res.on('data', chunk => (text += chunk));
        res.on('end', () =>
          resolve({status, signature, body: text, cut: false}),
        );
        res.on('error', () =>
          resolve({status, signature, body: text, cut: true}),
        );
      },
    );
    req.on('error', fail);
    req.setTimeout(2 * DEADLINE_MS, () => req.destroy());
    req.end(body);
  });
}

/** Sends requests of all kinds to all daemons until stopped. */
export function startCustomers(
  daemons: ReadonlyArray<Daemon & {service?: string}>,
  services: ReadonlyMap<string, string>,
  judge: Judge,
  perSecond: number,
  random: () => number,
  now: () => number,
): () => Promise<void> {
  const agents = new Map(
    daemons.map(({name}) => [
      name,
      new Agent({keepAlive: true, maxSockets: 8}),
    ]),
  );
  const open = new Set<Promise<void>>();
  let count = 0;
  const sendOne = async (): Promise<void> => {
    const daemon = daemons[Math.floor(random() * daemons.length)];
    const n = ++count;
    const booking = random() < 0.4;
    const target = random() < 0.5 ? 'a' : 'b';
    const sent: Sent = {
      id: `r${n}`,
      path: `/${booking ? 'book' : 'read'}-${target}/${n}`,
      body: booking ? `order ${n}` : '',
      repeatable: !booking,
      caller: services.get(daemon.name) ?? '',
    };
    if (!daemon.running) return;
    judge.noteSent(sent);
    const {boot} = daemon;
    const seen = await send(daemon, agents.get(daemon.name) ?? false, sent);
    const calm = now() - daemon.disturbedAt > TOUCH_MS;
    judge.noteAnswer(sent.id, seen, !calm || daemon.boot !== boot);
  };
  const timer = setInterval(() => {
    const sending = sendOne().finally(() => open.delete(sending));
    open.add(sending);
  }, 1_000 / perSecond);
  return async () => {
    clearInterval(timer);
    await Promise.all(open);
    for (const agent of agents.values()) agent.destroy();
  };
}
