import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {request} from 'undici';
import type {MemberRecord} from '../../src/internal.js';

/** Retries of each failed request. */
const MAX_RETRIES = 3;

/**
 * Creates a naive baseline: round robin over the upstreams, three retries after
 * any error or 5xx answer, fully buffered answers, no owner, no crash reports.
 */
export function createNaiveProxy(
  upstreams: ReadonlyArray<Pick<MemberRecord, 'host' | 'peerPort'>>,
  options: {reuse?: boolean} = {},
): (req: IncomingMessage, res: ServerResponse) => void {
  let next = 0;
  async function forward(req: IncomingMessage, body: Buffer) {
    let status = 502;
    let text = Buffer.alloc(0);
    for (let i = 0; i <= MAX_RETRIES; i++) {
      const {host, peerPort} = upstreams[next++ % upstreams.length];
      try {
        const res = await request(`http://${host}:${peerPort}${req.url}`, {
          method: req.method,
          headers: {'x-label': String(req.headers['x-label'] ?? '')},
          body: body.length > 0 ? body : undefined,
          reset: !options.reuse,
        });
        status = res.statusCode;
        text = Buffer.from(await res.body.arrayBuffer());
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
        // Reports every failure as not run, although the request may have run.
        const verdict = status >= 500 ? 'not-run' : 'ran';
        res.writeHead(status, {'berylbend-verdict': verdict});
        res.end(text);
      });
    });
  };
}

/** Starts the naive proxy on loopback; returns its port and a stop function. */
export async function startNaiveProxy(
  upstreams: readonly MemberRecord[],
): Promise<{port: number; stop(): Promise<void>}> {
  const server = http.createServer(createNaiveProxy(upstreams));
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
