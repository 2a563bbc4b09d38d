import test from 'ava';
import fc from 'fast-check';
import {MAX_ACCEPTED, OTHER_PEERS, OWN_PEERS} from '../src/internal.js';
import {createDocument} from './support/documents.js';
import {Network} from './support/network.js';
import {healAll, runSchedule, schedules} from './support/schedules.js';

/** Target: an accepted version is in force everywhere within 6 s. */
const TARGET_MS = 6_000;

/** Time limit to rediscover lost peers: one redial and one suspect timeout. */
const REDISCOVERY_MS = 30_000;

function runFaults(dataCentres: Record<string, number>, numRuns: number): void {
  const document = createDocument(Object.keys(dataCentres));
  const runs = fc.property(schedules, fc.nat(), (steps, seed) => {
    const net = new Network({seed, document, dataCentres});
    try {
      // The network throws when a daemon moves to an older version.
      net.run(8_000);
      runSchedule(net, steps);
      healAll(net);
      const took = net.runUntil(() => net.isConverged(), 60_000);
      if (!(took! <= TARGET_MS)) throw new Error(`convergence took ${took} ms`);
      const found = net.runUntil(() => net.isMutuallyKnown(), REDISCOVERY_MS);
      if (found === undefined) throw new Error('daemons stay disconnected');
      for (const {board} of net.getLiveNodes()) {
        const limit = OWN_PEERS + OTHER_PEERS + MAX_ACCEPTED;
        if (board.links.size > limit) throw new Error('too many links');
      }
    } finally {
      net.stop();
    }
  });
  fc.assert(runs, {seed: 31, numRuns});
}

test('faults neither roll back nor separate three data centres', t => {
  t.notThrows(() => runFaults({d1: 4, d2: 4, d3: 4}, 40));
});

test('faults neither roll back nor separate uneven data centres', t => {
  t.notThrows(() => runFaults({d1: 1, d2: 2, d3: 6, d4: 1}, 25));
});
