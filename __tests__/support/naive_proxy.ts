import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {request} from 'undici';
import type {MemberRecord} from '../../src/internal.js';

/** Blind retries of the naive proxy. */
const RETRIES = 3;

/**
 * Naive baseline: round robin over the upstreams, three blind retries on any
 * error or 5xx answer, whole answers buffered, no owner and no crash reports.
 */
export function createNaiveProxy(
  members: ReadonlyArray<Pick<MemberRecord, 'host' | 'peerPort'>>,
  options: {reuse?: boolean} = {},
): (req: IncomingMessage, res: ServerResponse) => void {
  let next = 0;
  async function forward(req: IncomingMessage, body: Buffer) {
    let status = 502;
    let text = Buffer.alloc(0);
    for (let i = 0; i <= RETRIES; i++) {
      const {host, peerPort} = members[next++ % members.length];
      try {
        const reply = await request(`http://${host}:${peerPort}${req.url}`, {
          method: req.method,
          headers: {'x-label': String(req.headers['x-label'] ?? '')},
          body: body.length > 0 ? body : undefined,
          reset: !options.reuse,
        });
        status = reply.statusCode;
        text = Buffer.from(await reply.body.arrayBuffer());
        if (status < 500) break;
      } catch {
        status = 502;
      }
    }
    return {status, text};
  }
  return (req, res) => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      void forward(req, Buffer.concat(chunks)).then(({status, text}) => {
        // A naive proxy reports a failure as if nothing had happened.
        const verdict = status >= 500 ? 'not-run' : 'ran';
        res.writeHead(status, {'berylbend-verdict': verdict});
        res.end(text);
      });
    });
  };
}

/** Starts the naive proxy on loopback; returns its port and a stop function. */
export async function startNaiveProxy(
  members: readonly MemberRecord[],
): Promise<{port: number; stop(): Promise<void>}> {
  const server = http.createServer(createNaiveProxy(members));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as {port: number};
  return {
    port,
    stop: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
