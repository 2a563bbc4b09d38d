import {setTimeout as delay} from 'node:timers/promises';
import {
  type Fault,
  type Harness,
  pickUpstream,
  publish,
  publishAgain,
  restartUpstream,
  runRecovery,
} from './harness.js';

/** Writes that each drill loses beside those of operator and upstreams; until the
 * store has passed as many, revisions are given out again. */
const LOST_WRITES = 200;

/** Time for which the lost writes are in force, ms: longer than an upstream that
 * leaves may get requests. */
const IN_FORCE_MS = 2_500;

/** Time for which the store is away, ms. */
const AWAY_MS = {shortest: 300, spread: 500};

/** Time within which upstreams and operator write again, ms. */
const REWRITE_MS = 1_800;

/** Time from the return of the store to the next version, ms. */
const NEXT_VERSION_MS = 2_500;

/** Time after which the store removes records that nobody renews, ms. */
const LEASE_MS = 4_500;

/** Time from the return of the store until the upstream that leaves ends, ms. */
const LEAVE_MS = 6_000;

let isUnderWay = false;

/** Writes again what operator and upstreams had written. */
function writeAgain(harness: Harness): void {
  const {random, store, upstreams} = harness;
  for (const upstream of upstreams) {
    setTimeout(() => upstream.republish(), REWRITE_MS * random());
  }
  setTimeout(() => {
    publishAgain(harness);
    for (const zone of new Set(upstreams.map(({zone}) => zone))) {
      const isOut = upstreams.some(
        upstream =>
          upstream.zone === zone && upstream.evacuatedAt !== undefined,
      );
      if (isOut) store.put(`op/evacuate/${zone}`, {});
      else store.remove(`op/evacuate/${zone}`);
    }
  }, REWRITE_MS * random());
}

/** Removes the records of upstreams that have ended, and of other writers. */
function removeLapsed({store, upstreams}: Harness): void {
  const listed = upstreams.map(({id}) => `servers/${id}`);
  for (const key of store.listKeys('servers/')) {
    if (!listed.includes(key)) store.remove(key);
  }
}

/** The store comes back from a copy that lacks a version and the announcement of an
 * upstream that leaves, in the next era; then the next version is published. */
export const storeDrill: Fault = harness => {
  const {store, storeServer} = harness;
  if (isUnderWay || storeServer.mode !== 'sound') return undefined;
  const awayMs = AWAY_MS.shortest + AWAY_MS.spread * harness.random();
  const lostFrom = performance.now();
  const leaving = pickUpstream(harness);
  const leaveMs = IN_FORCE_MS + awayMs + LEAVE_MS;
  if (leaving) restartUpstream(harness, leaving, leaveMs, 200);
  publish(harness);
  for (let i = 0; i < LOST_WRITES; i++) store.put('zz/lost', `${i}`);
  isUnderWay = true;
  runRecovery(harness, async () => {
    await delay(IN_FORCE_MS);
    const endsAt = harness.now() + awayMs;
    storeServer.mode = 'down';
    storeServer.modeEndsAt = endsAt;
    await delay(awayMs);
    store.drill(performance.now() - lostFrom);
    if (storeServer.modeEndsAt === endsAt) storeServer.mode = 'sound';
    writeAgain(harness);
    await delay(NEXT_VERSION_MS);
    publish(harness);
    await delay(LEASE_MS - NEXT_VERSION_MS);
    removeLapsed(harness);
    await delay(LEAVE_MS - LEASE_MS);
    isUnderWay = false;
  });
  return `away for ${Math.round(awayMs)} ms, ${leaving?.name ?? 'nobody'} leaves`;
};
