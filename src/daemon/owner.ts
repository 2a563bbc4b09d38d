import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  beginKey,
  count,
  dropKey,
  finishKey,
  HEADERS,
  observeHlc,
  parseHlc,
  readLoad,
  setReplyTimeout,
  type BoundKey,
  type KeyRecord,
  type LoadHint,
  type Outcome,
} from '../internal.js';
import {parseForward, type ForwardedRequest} from './owner_forward.js';
import {MAX_BODY_BYTES, readBody, readHeader} from './http.js';
import {
  awaitAnswer,
  isPastDeadline,
  refuseCall,
  runCall,
  sendRecorded,
  type Call,
  type CallResult,
} from './owner_call.js';
import {
  createOwnerState,
  isReady,
  checkArrival,
  checkStart,
  syncConfig,
  tickOwner,
  type OwnerDeps,
  type OwnerState,
} from './owner_state.js';

/** Dependencies of the owner. */
export type {OwnerDeps} from './owner_state.js';

/** Limit of all buffered request bodies, bytes: a quarter of the memory. */
export const MAX_BUFFERED_BYTES = 33_554_432;

/** Handler of `/forward` requests on the peer port. */
export interface Owner {
  (req: IncomingMessage, res: ServerResponse): void;
  /** Must be called every `TICK_MS`. */
  tick(now: number): void;
  readLoad(): LoadHint;
  /** False while the upstream is down or stalled, or the owner is stopping. */
  isReady(): boolean;
  /** Refuses new requests as `leaving`; resolves when accepted ones end. */
  stop(): Promise<void>;
}

/** Creates the owner of the local upstream. */
export function createOwner(deps: OwnerDeps): Owner {
  const owner = createOwnerState(deps);
  const handleRequest = (req: IncomingMessage, res: ServerResponse) => {
    serveForward(owner, req, res).catch(() => {
      count(deps.board, 'forward_errors');
      // A broken connection reports to the entry that the request may have run.
      res.destroy();
    });
  };
  return Object.assign(handleRequest, {
    tick: (now: number) => tickOwner(owner, now),
    readLoad: () => readLoad(owner.admission),
    isReady: () => isReady(owner),
    stop: () => (owner.stopped ??= stopOwner(owner)),
  });
}

async function stopOwner(owner: OwnerState): Promise<void> {
  owner.stopping = true;
  // Every call has a deadline timer, so this ends by the last deadline.
  while (owner.active.size > 0) {
    await new Promise<void>(resolve => (owner.onIdle = resolve));
  }
  owner.health.stop();
  await owner.upstream.close();
}

async function serveForward(
  owner: OwnerState,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const parsed = parseForward(req, owner.deps.peerKey);
  if (!parsed.ok) {
    refuseCall(owner, res, parsed.id, parsed.outcome);
    return;
  }
  syncConfig(owner);
  const hlc = parseHlc(readHeader(req, HEADERS.hlc));
  if (hlc) observeHlc(owner.board.timeline, hlc);
  const call = openCall(owner, req, res, parsed.forward);
  const body = await receiveBody(owner, call);
  if (!body) return;
  const {key} = call.forward;
  if (key) await serveKeyed(owner, call, key, body);
  else finishCall(owner, call, await startCall(owner, call, body));
}

function openCall(
  owner: OwnerState,
  req: IncomingMessage,
  res: ServerResponse,
  forward: ForwardedRequest,
): Call {
  const abort = new AbortController();
  const deadlineAt = owner.now() + forward.deadlineMs;
  const expire = () => abort.abort('deadline');
  const cancelTimeout = setReplyTimeout(expire, forward.deadlineMs);
  const call: Call = {req, res, forward, deadlineAt, abort, cancelTimeout};
  owner.active.add(call);
  res.once('close', () => {
    owner.active.delete(call);
    if (owner.active.size === 0) owner.onIdle?.();
    // Repeats of the key may still wait for this run: keep it running, and
    // keep its deadline timer.
    if (!res.writableFinished && call.record && call.record.waiters > 0) return;
    call.cancelTimeout();
    if (!res.writableFinished) abort.abort('cancelled');
  });
  return call;
}

async function receiveBody(
  owner: OwnerState,
  call: Call,
): Promise<Buffer | undefined> {
  const {req, res, forward, abort} = call;
  const declaredBytes = readDeclaredBytes(req);
  const refuse = (outcome: Outcome) =>
    refuseCall(owner, res, forward.id, outcome);
  if (declaredBytes > MAX_BODY_BYTES) return void refuse('tooLarge');
  if (owner.bufferedBytes + declaredBytes > MAX_BUFFERED_BYTES) {
    return void refuse('full');
  }
  owner.bufferedBytes += declaredBytes;
  res.once('close', () => (owner.bufferedBytes -= declaredBytes));
  const refuseIfExpired = () => {
    if (!isPastDeadline(call)) return;
    refuse('deadlineBeforeSend');
    // Ends the read of a body whose remainder never arrives.
    res.once('finish', () => req.destroy());
  };
  abort.signal.addEventListener('abort', refuseIfExpired);
  try {
    return await readBody(req);
  } catch {
    // The entry closed the connection before the request was complete.
    return undefined;
  } finally {
    abort.signal.removeEventListener('abort', refuseIfExpired);
  }
}

function readDeclaredBytes(req: IncomingMessage): number {
  if (req.headers['transfer-encoding'] !== undefined) return MAX_BODY_BYTES;
  return Number(req.headers['content-length'] ?? 0);
}

async function serveKeyed(
  owner: OwnerState,
  call: Call,
  key: BoundKey,
  body: Buffer,
): Promise<void> {
  const {forward, res} = call;
  for (;;) {
    const wallMs = owner.keyClock();
    const {self} = owner.board;
    const decision = beginKey(
      owner.keys,
      key,
      self,
      wallMs,
      forward.fingerprint,
    );
    switch (decision.kind) {
      case 'refused':
        return refuseCall(owner, res, forward.id, decision.outcome);
      case 'recorded':
        return sendRecorded(owner, call, decision.result);
      case 'start':
        call.record = decision.record;
        return runKeyed(owner, call, key, body);
      case 'join':
        if (await joinKeyedRun(owner, call, decision.record)) return;
      // The run was refused before it started, so this repeat may start it.
    }
  }
}

async function runKeyed(
  owner: OwnerState,
  call: Call,
  key: BoundKey,
  body: Buffer,
): Promise<void> {
  let callResult: CallResult = {kind: 'unknown', outcome: 'connectionBroken'};
  try {
    callResult = await startCall(owner, call, body);
  } finally {
    if (callResult.kind === 'refused') dropKey(owner.keys, key);
    else if (callResult.kind === 'answered') {
      finishKey(owner.keys, key, callResult.result);
    } else finishKey(owner.keys, key, {kind: 'mayHaveRun'});
  }
  finishCall(owner, call, callResult);
}

/** Waits for a run in progress; false if that run never started. */
async function joinKeyedRun(
  owner: OwnerState,
  call: Call,
  record: KeyRecord,
): Promise<boolean> {
  const {signal} = call.abort;
  awaitAnswer(owner, call);
  record.waiters++;
  count(owner.board, 'forward_key_joins');
  const gone = new Promise<'gone'>(resolve => {
    if (signal.aborted) resolve('gone');
    signal.addEventListener('abort', () => resolve('gone'));
  });
  const result = await Promise.race([record.done, gone]);
  record.waiters--;
  if (result === undefined) return false;
  if (result !== 'gone') sendRecorded(owner, call, result);
  else if (isPastDeadline(call)) {
    refuseCall(owner, call.res, call.forward.id, 'deadlineAfterSend');
  }
  return true;
}

async function startCall(
  owner: OwnerState,
  call: Call,
  body: Buffer,
): Promise<CallResult> {
  const outcome = checkArrival(owner, call.forward);
  if (outcome) return {kind: 'refused', outcome};
  return runCall(owner, call, body, () => checkStart(owner, call.forward));
}

function finishCall(
  owner: OwnerState,
  call: Call,
  callResult: CallResult,
): void {
  if (callResult.kind === 'answered') {
    count(owner.board, 'forward_answered');
    return;
  }
  if (callResult.outcome === 'cancelled') call.res.destroy();
  else refuseCall(owner, call.res, call.forward.id, callResult.outcome);
}
