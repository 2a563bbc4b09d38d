import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  createHttpServer,
  parseUrl,
  readNumber,
  sendJson,
} from './http_server.js';
import {createSeries, type Series, type SourceMode} from './series.js';

/** Rate limit of the platform, calls per second; a long poll is one call. */
export const CALLS_PER_SECOND = 2_000;

/** Longest wait of a long poll, ms. */
export const MAX_WAIT_MS = 60_000;

/** Counters of the configuration service since its start. */
export interface ConfigServiceCounts {
  /** Calls received, including refused ones. */
  calls: number;
  /** Calls answered 429. */
  limited: number;
  /** Calls that failed because of a simulated outage. */
  failed: number;
  /** Long polls in progress. */
  waiting: number;
  /** Total bytes of response bodies. */
  bytesOut: number;
  /** Highest number of calls within one second. */
  peakPerSecond: number;
}

/** Stand-in for the platform's configuration service. */
export interface ConfigService {
  readonly series: Series;
  readonly counts: Readonly<ConfigServiceCounts>;
  publish: Series['publish'];
  setMode(mode: SourceMode): void;
  listen(port?: number): Promise<string>;
  url(): string;
  close(): Promise<void>;
}

/** Options of the configuration service stand-in. */
export interface ConfigServiceOptions {
  callsPerSecond?: number;
  indexStep?: number;
}

/** Creates a configuration service with the platform's read and watch API. */
export function createConfigService({
  callsPerSecond = CALLS_PER_SECOND,
  indexStep = 1,
}: ConfigServiceOptions = {}): ConfigService {
  const series = createSeries({indexStep});
  const counts: ConfigServiceCounts = {
    calls: 0,
    limited: 0,
    failed: 0,
    waiting: 0,
    bytesOut: 0,
    peakPerSecond: 0,
  };
  const rateWindow = {startedAt: 0, calls: 0};

  function isOverLimit(): boolean {
    const now = performance.now();
    if (now - rateWindow.startedAt >= 1_000) {
      rateWindow.startedAt = now;
      rateWindow.calls = 0;
    }
    rateWindow.calls++;
    counts.peakPerSecond = Math.max(counts.peakPerSecond, rateWindow.calls);
    return rateWindow.calls > callsPerSecond;
  }

  function handle(req: IncomingMessage, res: ServerResponse): void {
    const url = parseUrl(req);
    if (req.method !== 'GET' || url.pathname !== '/v1/entries') {
      sendJson(res, 404, {error: 'not found'});
      return;
    }
    counts.calls++;
    if (isOverLimit()) {
      counts.limited++;
      sendJson(res, 429, {error: 'too many calls'}, {'retry-after': '1'});
      return;
    }
    if (failIfDown(res)) return;
    void answer(url, res);
  }

  function failIfDown(res: ServerResponse): boolean {
    const mode = series.mode();
    if (mode.kind !== 'down') return false;
    counts.failed++;
    if (mode.how === 'reset') res.socket?.destroy();
    if (mode.how === 'error') sendJson(res, 500, {error: 'unavailable'});
    return true;
  }

  async function answer(url: URL, res: ServerResponse): Promise<void> {
    const after = readNumber(url, 'after', 0);
    const waitMs = Math.min(readNumber(url, 'waitMs', 0), MAX_WAIT_MS);
    const disconnected = new AbortController();
    res.on('close', () => disconnected.abort());
    counts.waiting++;
    const reply = await series.watch(after, waitMs, disconnected.signal);
    counts.waiting--;
    if (res.destroyed || failIfDown(res)) return;
    const mode = series.mode();
    const delayMs = mode.kind === 'slow' ? mode.delayMs : 0;
    const send = () => {
      if (!res.destroyed) counts.bytesOut += sendJson(res, 200, reply);
    };
    if (delayMs > 0) setTimeout(send, delayMs);
    else send();
  }

  const server = createHttpServer(handle);

  function setMode(mode: SourceMode): void {
    series.setMode(mode);
    // An outage also ends long polls in progress.
    if (mode.kind === 'down' && mode.how === 'reset') {
      for (const socket of server.sockets) socket.destroy();
    }
  }

  return {
    series,
    counts,
    publish: series.publish,
    setMode,
    listen: server.listen,
    url: server.url,
    close: server.close,
  };
}
