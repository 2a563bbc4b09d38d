import {createServer, connect, type Server, type Socket} from 'node:net';

/** What a proxy does with the bytes that pass through it. */
export type LinkMode = 'pass' | 'delay' | 'mute' | 'silent' | 'reset';

/** Delay of each chunk in mode `delay`, ms. */
const DELAY_MS = 40;

/** A link of one daemon to a server, with faults injected from outside. */
export interface Link {
  mode: LinkMode;
  close(): Promise<void>;
}

/**
 * Opens a proxy. `mute` drops what the server answers, `silent` drops both
 * ways, `reset` resets every open connection and each new one.
 */
export async function openLink(
  host: string,
  port: number,
  target: () => {host: string; port: number},
): Promise<Link> {
  const pairs = new Set<[Socket, Socket]>();
  let mode: LinkMode = 'pass';
  const server = createServer({allowHalfOpen: true}, client => {
    if (mode === 'reset') return void client.resetAndDestroy();
    const upstream = connect({...target(), allowHalfOpen: true});
    const pair: [Socket, Socket] = [client, upstream];
    pairs.add(pair);
    const pipe = (from: Socket, to: Socket, drop: LinkMode[]): void => {
      const send = (act: () => void) =>
        mode === 'delay' ? setTimeout(act, DELAY_MS) : act();
      from.on('data', data => {
        if (!drop.includes(mode)) send(() => to.writable && to.write(data));
      });
      from.on('end', () => send(() => to.end()));
      // A reset on one side is a reset on the other one.
      from.on('error', () => to.resetAndDestroy());
      from.on('close', () => pairs.delete(pair));
    };
    pipe(client, upstream, ['silent']);
    pipe(upstream, client, ['silent', 'mute']);
  });
  await listen(server, host, port);
  return {
    get mode() {
      return mode;
    },
    set mode(next) {
      mode = next;
      if (next !== 'reset') return;
      for (const pair of pairs) pair.forEach(end => end.resetAndDestroy());
    },
    close: () => {
      for (const pair of pairs) pair.forEach(end => end.destroy());
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
}

/** Listens on an address; rejects when it cannot be had. */
export function listen(
  server: Server,
  host: string,
  port: number,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}
