import {createServer, connect, type Server, type Socket} from 'node:net';
import {resetConnection} from '../standins/reset_connection.js';

/** How a proxy treats the bytes it forwards. */
export type ProxyMode = 'pass' | 'delay' | 'mute' | 'silent' | 'reset';

/** Delay of each chunk in mode `delay`, ms. */
const CHUNK_DELAY_MS = 40;

/** A TCP proxy between a daemon and a server that injects faults. */
export interface FaultProxy {
  mode: ProxyMode;
  close(): Promise<void>;
}

/**
 * Starts a proxy. `mute` drops the server's bytes, `silent` drops both
 * directions, `reset` resets all open and new connections.
 */
export async function startFaultProxy(
  host: string,
  port: number,
  target: () => {host: string; port: number},
): Promise<FaultProxy> {
  const pairs = new Set<[Socket, Socket]>();
  let mode: ProxyMode = 'pass';
  const server = createServer({allowHalfOpen: true}, client => {
    if (mode === 'reset') return void client.resetAndDestroy();
    const upstream = connect({...target(), allowHalfOpen: true});
    const sockets: [Socket, Socket] = [client, upstream];
    pairs.add(sockets);
    const forward = (from: Socket, to: Socket, drops: ProxyMode[]): void => {
      const defer = (action: () => void) =>
        mode === 'delay' ? setTimeout(action, CHUNK_DELAY_MS) : action();
      from.on('data', data => {
        if (!drops.includes(mode)) defer(() => to.writable && to.write(data));
      });
      // Propagates a reset to the other side; one that comes with the last bytes
      // shows as an end, and the connection has no peer then.
      from.on('end', () => {
        const isReset = from.remoteAddress === undefined;
        defer(() => (isReset ? resetConnection(to) : to.end()));
      });
      from.on('error', () => resetConnection(to));
      // The other side may stay half open until the proxy closes it.
      from.on('close', () => to.destroyed && pairs.delete(sockets));
    };
    forward(client, upstream, ['silent']);
    forward(upstream, client, ['silent', 'mute']);
  });
  await listen(server, host, port);
  return {
    get mode() {
      return mode;
    },
    set mode(next) {
      mode = next;
      if (next !== 'reset') return;
      for (const pair of pairs) pair.forEach(resetConnection);
    },
    close: () => {
      for (const pair of pairs) pair.forEach(end => end.destroy());
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
}

/** Listens on an address; rejects when the address is not available. */
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
