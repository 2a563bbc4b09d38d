import type {IncomingMessage, ServerResponse} from 'node:http';
import {memberSchema, type MemberRecord} from '../src/internal.js';
import {createHttpServer, parseUrl, sendJson} from './http_server.js';

/** Stand-in for the platform's instance list. */
export interface InstanceList {
  /** Adds or replaces an instance, with the state `live`. */
  register(record: MemberRecord): void;
  markLeaving(id: string): void;
  remove(id: string): void;
  /** Sets the delay before a change is visible, ms. */
  setLag(lagMs: number): void;
  /** While true, resets the connection of every call. */
  setDown(down: boolean): void;
  /** Returns the instances that are visible to callers. */
  read(): MemberRecord[];
  readonly counts: Readonly<{calls: number; failed: number}>;
  listen(port?: number): Promise<string>;
  url(): string;
  close(): Promise<void>;
}

interface Change {
  readonly at: number;
  readonly id: string;
  readonly record?: MemberRecord;
}

/** Creates an instance list whose changes become visible after `lagMs`. */
export function createInstanceList({lagMs = 0} = {}): InstanceList {
  const visible = new Map<string, MemberRecord>();
  const latest = new Map<string, MemberRecord>();
  const changes: Change[] = [];
  const counts = {calls: 0, failed: 0};
  let lag = lagMs;
  let down = false;

  function change(id: string, record?: MemberRecord): void {
    if (record) latest.set(id, record);
    else latest.delete(id);
    changes.push({at: performance.now(), id, record});
  }

  function read(): MemberRecord[] {
    const limit = performance.now() - lag;
    while (changes.length > 0 && changes[0].at <= limit) {
      const {id, record} = changes.shift()!;
      if (record) visible.set(id, record);
      else visible.delete(id);
    }
    return [...visible.values()];
  }

  function markLeaving(id: string): void {
    const record = latest.get(id);
    if (record) change(id, {...record, state: 'leaving'});
  }

  function handle(req: IncomingMessage, res: ServerResponse): void {
    counts.calls++;
    if (down) {
      counts.failed++;
      res.socket?.destroy();
      return;
    }
    if (req.method === 'GET' && parseUrl(req).pathname === '/v1/instances') {
      sendJson(res, 200, {instances: read()});
      return;
    }
    sendJson(res, 404, {error: 'not found'});
  }

  const server = createHttpServer(handle);
  return {
    register: record =>
      change(
        record.id,
        // The platform does not track incarnations or boot ids.
        memberSchema.parse({
          ...record,
          incarnation: 0,
          boot: '',
          state: 'live',
        }),
      ),
    markLeaving,
    remove: id => change(id),
    setLag: next => {
      lag = next;
    },
    setDown: next => {
      down = next;
    },
    read,
    counts,
    listen: server.listen,
    url: server.url,
    close: server.close,
  };
}
