import {get} from 'node:http';
import {inflateRawSync} from 'node:zlib';
import {unpack} from 'msgpackr';
import {isUnchanged} from '../platform/decode.js';
import {
  HEADERS,
  mirrorStateSchema,
  type MirrorState,
  type StoreEvent,
} from '../src/internal.js';
import {STATE_PATH} from '../src/sidecar/peer_state.js';
import {type Daemon, PORTS, RECOVERY_MS} from './daemons.js';
import type {Harness} from './harness.js';

/** Interval at which the copy of each daemon is read, ms. */
const READ_INTERVAL_MS = 250;

/** Writes of the store with their times, ms; `isNews` unless the write said the
 * same as the one before, which daemons may keep from each other. */
export type History = Array<
  StoreEvent & {readonly writtenAt: number; readonly isNews: boolean}
>;

/** Writes of one era of the store, and the time at which the next era began, ms. */
interface Era {
  readonly history: History;
  endedAt: number;
}

/**
 * Reads the daemons' copies of the store and checks that each is as old as it
 * says at most, and holds what the store held at its revision; that holds at any
 * load, and during all faults. A daemon that has recovered from them must hold a
 * write after the bound for versions too, whatever its copy says. Returns a stop
 * function.
 */
export function checkCopies(harness: Harness): () => void {
  const {daemons, store, checker, now} = harness;
  const eras = new Map<number, Era>([[0, {history: [], endedAt: Infinity}]]);
  store.onDrill = events => {
    const last = eras.get(store.era - 1);
    if (last) last.endedAt = now();
    const history = events.map(event => {
      return {...event, writtenAt: now(), isNews: true};
    });
    eras.set(store.era, {history, endedAt: Infinity});
  };
  store.onWrite = event => {
    const {history} = eras.get(store.era) as Era;
    const before = history.findLast(({key}) => key === event.key);
    const isNews = !isSameValue(event.key, before?.value, event.value);
    history.push({...event, writtenAt: now(), isNews});
  };
  const check = async (daemon: Daemon): Promise<void> => {
    const askedAt = now();
    const copy = await readCopy(daemon.host);
    if (!copy) return;
    const {state, ageMs} = copy;
    const era = eras.get(state.era ?? 0);
    if (!era) return checker.reportCopy(daemon.name, `era ${state.era}`);
    const {history, endedAt} = era;
    const next = history.find(
      ({revision, isNews}) => isNews && revision > state.revision,
    );
    const outdatedAt = Math.min(next?.writtenAt ?? Infinity, endedAt);
    const oldestMs = Math.max(0, askedAt - outdatedAt);
    if (ageMs < oldestMs) {
      const figures = `${Math.round(oldestMs)} ms old, says ${ageMs} ms`;
      checker.reportCopy(daemon.name, `revision ${state.revision}, ${figures}`);
    }
    const recoveredAt =
      Math.max(daemon.disruptedAt, harness.disruptedUntil) + RECOVERY_MS;
    const dueAt = Math.max(outdatedAt + harness.configLimitMs, recoveredAt);
    if (askedAt > dueAt) {
      const lateMs = Math.round(askedAt - dueAt);
      checker.reportLateCopy(daemon.name, state.revision, lateMs);
    }
    for (const key of findWrongKeys(state, history)) {
      checker.reportCopy(daemon.name, `revision ${state.revision}, ${key}`);
    }
  };
  const timer = setInterval(() => {
    for (const daemon of daemons) if (daemon.running) void check(daemon);
  }, READ_INTERVAL_MS);
  return () => clearInterval(timer);
}

/** Reads the copy of a daemon; undefined when it ends or is stopping. Each read
 * opens a connection: a daemon takes the pauses on one for those of a peer. */
function readCopy(
  host: string,
): Promise<{state: MirrorState; ageMs: number} | undefined> {
  const path = `${STATE_PATH}?after=-1`;
  return new Promise(resolve => {
    const req = get({host, port: PORTS.peer, path, agent: false}, res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', () => resolve(undefined));
      res.on('end', () => {
        if (res.statusCode !== 200) return resolve(undefined);
        const body = inflateRawSync(Buffer.concat(chunks));
        const state = mirrorStateSchema.parse(unpack(body));
        resolve({state, ageMs: Number(res.headers[HEADERS.ageMs])});
      });
    });
    req.on('error', () => resolve(undefined));
  });
}

/** Keys whose value is neither that of the store at the revision of the copy nor
 * a later one: a copy of several pages may hold later changes and deletions. */
export function findWrongKeys(
  {revision, keys, items}: MirrorState,
  history: History,
): string[] {
  const expected = new Map<string, StoreEvent>();
  for (const event of history) {
    if (event.revision <= revision) expected.set(event.key, event);
  }
  const found = new Map(items.map(item => [item.key, item]));
  return [...expected].flatMap(([key, {value}]) => {
    const item = found.get(key);
    if (item && item.revision > revision) return [];
    if (value === undefined) return keys.includes(key) ? [key] : [];
    if (!keys.includes(key) && isDeletedAfter(history, key, revision)) {
      return [];
    }
    const [part] = item?.parts ?? [];
    if (!(part instanceof Uint8Array)) return [key];
    return isSameValue(key, Buffer.from(part), value) ? [] : [key];
  });
}

function isDeletedAfter(history: History, key: string, after: number): boolean {
  return history.some(
    event =>
      event.key === key && event.revision > after && event.value === undefined,
  );
}

function isSameValue(
  key: string,
  before: Buffer | undefined,
  after: Buffer | undefined,
): boolean {
  if (!before || !after) return before === after;
  return before.equals(after) || isUnchanged(key, before, after);
}
