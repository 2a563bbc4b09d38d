import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {findPort, OWN_ADDRESS} from '../../standins/ports.js';

/** One request that reached the fake upstream. */
export interface LedgerEntry {
  readonly id: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  state: 'running' | 'finished' | 'cancelled';
}

/** Size of the answer to `/flood`, bytes; exceeds all socket buffers. */
export const FLOOD_BYTES = 67_108_864;

type Reply = (res: ServerResponse, fake: UpstreamFake) => unknown;

const REPLIES: Record<string, Reply> = {
  '/ok': res => res.end('answer'),
  '/hold': (res, fake) => fake.held.push(() => res.end('answer')),
  '/big': res => res.end(Buffer.alloc(4_000_000, 'x')),
  '/flood': async (res, fake) => {
    for (; fake.flooded < FLOOD_BYTES; fake.flooded += 65_536) {
      if (!res.write(Buffer.alloc(65_536, 'x'))) await once(res, 'drain');
    }
    res.end();
  },
  '/shed': res => res.writeHead(503, {'berylbend-shed': 'not-run'}).end(),
  '/reset': res => res.destroy(),
  '/cut': res => {
    res.writeHead(200, {'content-length': 100}).write('part');
    setImmediate(() => res.destroy());
  },
  '/unframed': (res, fake) => {
    res.shouldKeepAlive = false;
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200).write('part');
    fake.held.push(() => res.end());
  },
  '/chunks': (res, fake) => {
    res.write('part');
    fake.held.push(() => res.end('rest'));
  },
};

/** Upstream on loopback that records every request that it runs. */
export class UpstreamFake {
  readonly ledger: LedgerEntry[] = [];
  /** Callbacks that end `/hold`, `/chunks` and `/unframed`, oldest first. */
  readonly held: Array<() => unknown> = [];
  /** Bytes written by `/flood`. */
  flooded = 0;
  running = 0;
  maxRunning = 0;
  port = 0;
  private server?: Server;

  get url(): string {
    return `http://${OWN_ADDRESS}:${this.port}`;
  }

  /** Starts to listen; after a crash, on the same port as before. */
  async start(): Promise<void> {
    this.server = createServer((req, res) => this.serve(req, res));
    // The port must still be free after a crash.
    if (this.port === 0) this.port = await findPort();
    this.server.listen(this.port, OWN_ADDRESS);
    await once(this.server, 'listening');
  }

  /** Resets all connections and refuses new ones. */
  async crash(): Promise<void> {
    const closed = new Promise(resolve => this.server?.close(resolve));
    this.server?.closeAllConnections();
    await closed;
  }

  /** Ledger entries of a request id. */
  runs(id: string): LedgerEntry[] {
    return this.ledger.filter(entry => entry.id === id);
  }

  private serve(req: IncomingMessage, res: ServerResponse): void {
    const path = req.url ?? '';
    if (path === '/health') return void res.end('ok');
    if (path.startsWith('/shed')) return void REPLIES['/shed'](res, this);
    const id = String(req.headers['berylbend-id']);
    const {headers} = req;
    const entry: LedgerEntry = {id, path, headers, state: 'running'};
    this.ledger.push(entry);
    this.running++;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    res.once('close', () => {
      this.running--;
      entry.state = res.writableFinished ? 'finished' : 'cancelled';
    });
    REPLIES[path.split('?')[0]](res, this);
  }
}
