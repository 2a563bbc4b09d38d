import {
  configureAdmission,
  checkPause,
  resetLimit,
  count,
  createAdmission,
  createKeyClock,
  createKeyTable,
  flushQueue,
  isKeyExpired,
  readLoad,
  recordEvent,
  sweepKeys,
  tickAdmission,
  type Admission,
  type Board,
  type KeyTable,
  type Outcome,
  type ServiceConfig,
  type Version,
} from '../internal.js';
import type {ForwardedRequest} from './owner_forward.js';
import {createHealthMonitor} from './health.js';
import type {Call, CallContext} from './owner_call.js';
import type {Upstream} from './upstream.js';

/** Time in which queued requests may still start after a take-out, ms. */
export const DATA_CENTRE_OUT_GRACE_MS = 2_000;

const KEY_SWEEP_INTERVAL_MS = 10_000;

/** Dependencies of the owner. */
export interface OwnerDeps {
  readonly board: Board;
  /** Key that all peers share; also signs bound idempotency keys. */
  readonly peerKey: string;
  /** Client of the upstream; closed when the owner stops. */
  readonly upstream: Upstream;
  /** Called after a crash with the fingerprints of the requests in flight. */
  readonly reportCrash: (fingerprints: string[]) => void;
  /** Monotonic clock, ms. */
  readonly now: () => number;
  /** Wall time at start, ms; the base of the clock for key expiry. */
  readonly wallAtStart: number;
}

/** State of the owner of one upstream. */
export interface OwnerState extends CallContext {
  readonly deps: OwnerDeps;
  readonly keys: KeyTable;
  readonly keyClock: () => number;
  readonly active: Set<Call>;
  /** Version whose limits are applied. */
  version?: Version;
  service?: ServiceConfig;
  /** Monotonic time at which the data centre was seen as out, ms. */
  outSince?: number;
  bufferedBytes: number;
  stopping: boolean;
  onIdle?: () => void;
  /** Set by the first call of `stop`. */
  stopped?: Promise<void>;
  /** Values at the previous tick, to detect changes. */
  lastTick: {epoch: number; cold: boolean; stalled: boolean; sweptAt: number};
}

/** Creates the state of an owner that has no requests. */
export function createOwnerState(deps: OwnerDeps): OwnerState {
  const {board, now, upstream} = deps;
  const initialConfig = {
    slots: 1,
    connections: 1,
    downloadShare: 0.5,
    expectedMs: 50,
  };
  const admission = createAdmission(initialConfig, now);
  const health = createHealthMonitor({
    upstream,
    random: board.random,
    now,
    onDown: fingerprints => handleUpstreamDown(deps, admission, fingerprints),
    onUp: () => recordEvent(board.timeline, 'upstreamUp', {}, now()),
  });
  return {
    deps,
    board,
    now,
    upstream,
    admission,
    health,
    keys: createKeyTable(),
    keyClock: createKeyClock(deps.wallAtStart, now),
    active: new Set(),
    bufferedBytes: 0,
    stopping: false,
    lastTick: {epoch: 0, cold: true, stalled: false, sweptAt: now()},
  };
}

function handleUpstreamDown(
  deps: OwnerDeps,
  admission: Admission,
  fingerprints: string[],
): void {
  const {board, now} = deps;
  const crashed = fingerprints.length > 0;
  const detail = {inFlight: fingerprints.length};
  const kind = crashed ? 'upstreamCrashed' : 'upstreamDown';
  recordEvent(board.timeline, kind, detail, now());
  count(board, crashed ? 'upstream_crashes' : 'upstream_downs');
  resetLimit(admission);
  flushQueue(admission, 'upstreamDown');
  if (crashed) deps.reportCrash(fingerprints);
}

/** Applies the configuration, detects stalls, sweeps keys, records changes. */
export function tickOwner(owner: OwnerState, now: number): void {
  const {admission, board, lastTick} = owner;
  syncConfig(owner);
  tickAdmission(admission, now);
  if (now - lastTick.sweptAt >= KEY_SWEEP_INTERVAL_MS) {
    lastTick.sweptAt = now;
    sweepKeys(owner.keys, owner.keyClock());
  }
  const {epoch} = admission.limit;
  if (epoch !== lastTick.epoch) {
    count(board, 'upstream_cold_starts', epoch - lastTick.epoch);
    recordEvent(board.timeline, 'upstreamCold', {}, now);
  }
  const {stalled, inFlight} = admission.stall;
  if (stalled && !lastTick.stalled) {
    count(board, 'upstream_stalls');
    recordEvent(board.timeline, 'upstreamStalled', {inFlight}, now);
  }
  const {cold, limit} = readLoad(admission);
  if (!cold && lastTick.cold) {
    recordEvent(board.timeline, 'limitChanged', {limit, cold}, now);
  }
  Object.assign(lastTick, {epoch, cold, stalled});
}

/** False while the upstream is down or stalled, or the owner is stopping. */
export function isReady(owner: OwnerState): boolean {
  const {admission, health, stopping} = owner;
  return !admission.stall.stalled && !health.isDown() && !stopping;
}

/** Applies the limits of the version in force. */
export function syncConfig(owner: OwnerState): void {
  const {inForce} = owner.board.config;
  if (!inForce || inForce === owner.version) return;
  owner.version = inForce;
  const {self} = owner.board;
  const {services, dataCentres} = inForce.document;
  owner.service = services[self.service];
  if (owner.service) {
    configureAdmission(owner.admission, owner.service);
    owner.upstream.setConnections(owner.service.connections);
  }
  if (dataCentres[self.dataCentre]?.state !== 'in') {
    owner.outSince ??= owner.now();
  } else if (owner.outSince !== undefined) {
    owner.outSince = undefined;
    resetLimit(owner.admission);
  }
}

/** Returns the outcome to refuse a new request with; undefined to queue it. */
export function checkArrival(
  owner: OwnerState,
  forward: ForwardedRequest,
): Outcome | undefined {
  const {version, service, board} = owner;
  if (owner.stopping) return 'leaving';
  if (!version) return 'noConfig';
  // After a pause, a request may be read before the first tick.
  checkPause(board, owner.now());
  if (board.viewStale) return 'staleView';
  if (owner.outSince !== undefined) return 'dataCentreOut';
  const route = version.document.routes[forward.route];
  // A route that is unknown here may exist in the version of the entry.
  if (!route && forward.version === version.version) return 'unknownRoute';
  if (!service || (route && route.service !== board.self.service)) {
    return 'wrongOwner';
  }
  return owner.health.isDown() ? 'upstreamDown' : undefined;
}

/** Returns the outcome to refuse a queued request with; undefined to start. */
export function checkStart(
  owner: OwnerState,
  forward: ForwardedRequest,
): Outcome | undefined {
  const {outSince, keys} = owner;
  if (owner.health.isDown()) return 'upstreamDown';
  if (
    outSince !== undefined &&
    owner.now() - outSince > DATA_CENTRE_OUT_GRACE_MS
  ) {
    return 'dataCentreOut';
  }
  const expired =
    forward.key && isKeyExpired(keys, forward.key, owner.keyClock());
  return expired ? 'keyExpired' : undefined;
}
