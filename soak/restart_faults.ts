import {setTimeout as delay} from 'node:timers/promises';
import {CUSTOMER_DEADLINE_MS, sendRequest} from './customers.js';
import type {Daemon} from './daemons.js';
import {
  expectReady,
  type Fault,
  type Harness,
  pickFrom,
  restartingIds,
  runRecovery,
  stopDaemon,
} from './harness.js';

/** Time after which a daemon that was disrupted has the state of the others, ms. */
const CATCH_UP_MS = 3_000;

/** Time from a crash to the next attempt with the same request, ms; crashes closer
 * to each other than 500 ms count as one. */
const REPEAT_MS = 1_500;

/** Time for which a crashed upstream is away, ms. */
const AWAY_MS = 300;

/** Daemons that are restarted one after the other. */
const RESTARTS = 3;

/** Attempts with the request from each restarted daemon. */
const ATTEMPTS = 2;

/** Limit that an upstream states, requests per second. */
const LIMIT_PER_S = 1;

/** Limit until all senders have passed on an answer, requests per second. */
const FIRST_LIMIT_PER_S = 4;

/** Slots of an upstream that states a limit: many, so that filling them breaks it. */
const LIMITED_SLOTS = 20;

/** Interval of the requests of each sender before the restart, ms. */
const SEND_INTERVAL_MS = 50;

/** Bursts of requests once the daemon is ready again: each sender sends so many at
 * once, at this interval, ms. */
const BURSTS = {count: 20, size: 15, intervalMs: 400};

/** Time from a ready daemon to the answer to its health check, ms; until then it
 * keeps to the rate of a cold upstream. */
const HEALTH_CHECK_MS = 200;

/** Longest time until all senders have passed on an answer with the limit, ms. */
const SPREAD_MS = 15_000;

/** True while such a fault lasts: each restarts daemons one at a time. */
let isUnderWay = false;

function send(
  {checker, services}: Harness,
  daemon: Daemon,
  {id, path, body}: {id: string; path: string; body: string},
): Promise<{status: number}> {
  const caller = services.get(daemon.name) ?? '';
  const sent = {id, path, body, idempotent: body === '', caller};
  checker.recordSent(sent, CUSTOMER_DEADLINE_MS);
  return sendRequest(daemon, false, sent);
}

/** Stops a daemon as planned; resolves once it is ready again. */
async function restart(harness: Harness, daemon: Daemon): Promise<void> {
  if (daemon.running) stopDaemon(harness, daemon);
  const {incarnation} = daemon;
  while (daemon.incarnation === incarnation) await delay(50);
  await expectReady(harness, daemon);
}

async function waitForTouch(harness: Harness, daemon: Daemon): Promise<void> {
  while (daemon.isDisrupted(harness.now())) await delay(100);
}

/** Faults around what a restarted daemon has to learn (issue 53), by kind. */
export const RESTART_FAULTS: Record<string, Fault> = {
  crashingRequest(harness) {
    if (isUnderWay) return undefined;
    isUnderWay = true;
    const {upstreams, daemons, checker, now} = harness;
    const fault = harness.faults.length;
    const path = `/book-a/crash-${fault}`;
    const body = `order crash-${fault}`;
    let crashes = 0;
    let retries = 0;
    let countsFrom = Infinity;
    /** Ids of the attempts that count as retries. */
    const counted = new Set<string>();
    for (const upstream of upstreams) {
      upstream.onRun = (id, url) => {
        const {id: upstreamId} = upstream;
        if (url !== path || restartingIds.has(upstreamId)) return false;
        restartingIds.add(upstreamId);
        crashes++;
        if (crashes === 3) countsFrom = now() + CATCH_UP_MS;
        if (counted.has(id)) checker.checkCrashes(path, ++retries);
        runRecovery(harness, async () => {
          await upstream.crash();
          await delay(AWAY_MS);
          upstream.removeRecord();
          await upstream.start();
          restartingIds.delete(upstreamId);
        });
        return true;
      };
    }
    let sends = 0;
    const attempt = async (daemon: Daemon): Promise<void> => {
      const id = `c${fault}-${++sends}`;
      const inTouch = !daemon.isDisrupted(now());
      if (inTouch && now() > countsFrom) counted.add(id);
      await send(harness, daemon, {id, path, body});
      await delay(REPEAT_MS);
    };
    const offset = Math.floor(harness.random() * daemons.length);
    const order = daemons.map((_, i) => daemons[(i + offset) % daemons.length]);
    runRecovery(harness, async () => {
      for (const daemon of order.slice(0, 2)) await attempt(daemon);
      for (const daemon of order.slice(-RESTARTS)) {
        await restart(harness, daemon);
        await waitForTouch(harness, daemon);
        for (let i = 0; i < ATTEMPTS; i++) await attempt(daemon);
      }
      for (const upstream of upstreams) upstream.onRun = undefined;
      isUnderWay = false;
    });
    return `${path}, ${RESTARTS} restarts`;
  },
  limitedUpstream(harness) {
    if (isUnderWay) return undefined;
    const {upstreams, daemons, checker, now} = harness;
    const upstream = pickFrom(harness, upstreams);
    const owner = daemons[upstreams.indexOf(upstream)];
    // Otherwise the senders would choose upstreams that state no limit.
    const keys = [...new Set(upstreams.map(({zone}) => zone))]
      .filter(zone => zone !== upstream.zone)
      .map(zone => `op/evacuate/${zone}`);
    const senders = daemons.filter(daemon => daemon !== owner).slice(0, 3);
    const fault = harness.faults.length;
    const namesInHealth = harness.random() < 0.5;
    isUnderWay = true;
    const arrived = new Set<string>();
    const arrivals: number[] = [];
    let countsFrom = Infinity;
    upstream.onRun = id => {
      arrived.add(id);
      if (id.startsWith(`l${fault}-`) && now() > countsFrom) {
        arrivals.push(now());
        checker.checkStatedLimit(upstream.name, arrivals, LIMIT_PER_S);
      }
      return false;
    };
    let sends = 0;
    const sendOne = async (daemon: Daemon): Promise<boolean> => {
      const id = `l${fault}-${++sends}`;
      const path = `/read-${upstream.service}/${id}`;
      const {status} = await send(harness, daemon, {id, path, body: ''});
      return status === 200 && arrived.has(id);
    };
    runRecovery(harness, async () => {
      for (const key of keys) harness.store.put(key, {});
      upstream.stateLimit(FIRST_LIMIT_PER_S, LIMITED_SLOTS, namesInHealth);
      if (await spreadLimit(harness, senders, sendOne)) {
        upstream.stateLimit(LIMIT_PER_S, LIMITED_SLOTS, namesInHealth);
        await delay(CATCH_UP_MS);
        countsFrom = now();
        await restart(harness, owner);
        await delay(HEALTH_CHECK_MS);
        const pending: Promise<unknown>[] = [];
        for (let i = 0; i < BURSTS.count; i++) {
          const burst = senders.flatMap(daemon =>
            Array.from({length: BURSTS.size}, () => sendOne(daemon)),
          );
          pending.push(...burst);
          await delay(BURSTS.intervalMs);
        }
        await Promise.all(pending);
      }
      upstream.endLimit();
      for (const key of keys) harness.store.remove(key);
      isUnderWay = false;
    });
    return `${upstream.name}, health ${namesInHealth ? 'names' : 'omits'} it`;
  },
};

/** Sends requests until each sender has passed on an answer of the upstream with
 * its limit; false when that takes too long. */
async function spreadLimit(
  {now}: Harness,
  senders: readonly Daemon[],
  sendOne: (daemon: Daemon) => Promise<boolean>,
): Promise<boolean> {
  const endAt = now() + SPREAD_MS;
  const missing = new Set<Daemon>(senders);
  while (missing.size > 0) {
    if (now() > endAt) return false;
    for (const daemon of [...missing]) {
      void sendOne(daemon).then(passed => {
        if (passed) missing.delete(daemon);
      });
    }
    await delay(SEND_INTERVAL_MS);
  }
  return true;
}
