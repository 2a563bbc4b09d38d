import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {Transform} from 'node:stream';

/** Effect of a cut: resets connections, or silently drops all bytes. */
export type CutMode = 'reset' | 'silent';

/** TCP proxy that injects delays and connection faults. */
export interface FaultProxy {
  /** Sets the delay of each direction, ms. */
  setDelay(delayMs: number): void;
  cut(kind?: CutMode): void;
  /** Restores traffic after resetting connections that were cut silently. */
  heal(): void;
  readonly counts: Readonly<{connections: number; refused: number}>;
  /** Listens on 127.0.0.1; returns the port. */
  listen(port?: number): Promise<number>;
  close(): Promise<void>;
}

/** Creates a proxy to a port on 127.0.0.1. */
export function createFaultProxy({
  targetPort,
  delayMs = 0,
}: {
  targetPort: number;
  delayMs?: number;
}): FaultProxy {
  const sockets = new Set<Socket>();
  const counts = {connections: 0, refused: 0};
  let delay = delayMs;
  let cutMode: CutMode | undefined;

  function createDelayStream(): Transform {
    return new Transform({
      transform(chunk: Buffer, _encoding, done) {
        if (cutMode === 'silent') {
          done();
          return;
        }
        if (delay > 0) setTimeout(() => done(null, chunk), delay);
        else done(null, chunk);
      },
    });
  }

  function accept(client: Socket): void {
    counts.connections++;
    if (cutMode === 'reset') {
      counts.refused++;
      client.destroy();
      return;
    }
    const target = connect({
      port: targetPort,
      host: '127.0.0.1',
      allowHalfOpen: true,
    });
    for (const [socket, other] of [
      [client, target],
      [target, client],
    ]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => other.destroy());
      socket.on('close', () => {
        sockets.delete(socket);
        // Propagates a close that came before both directions had ended.
        if (!socket.readableEnded || !socket.writableFinished) other.destroy();
      });
    }
    client.pipe(createDelayStream()).pipe(target);
    target.pipe(createDelayStream()).pipe(client);
  }

  function destroyAll(): void {
    for (const socket of sockets) socket.destroy();
  }

  const server: Server = createServer({allowHalfOpen: true}, accept);

  return {
    setDelay: next => {
      delay = next;
    },
    cut: (kind = 'reset') => {
      cutMode = kind;
      if (kind === 'reset') destroyAll();
    },
    heal: () => {
      if (cutMode === 'silent') destroyAll();
      cutMode = undefined;
    },
    counts,
    listen: (port = 0) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, '127.0.0.1', () =>
          resolve((server.address() as AddressInfo).port),
        );
      }),
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        destroyAll();
      }),
  };
}
