import {setTimeout as delay} from 'node:timers/promises';
import {type Fault, pickFrom, runRecovery} from './harness.js';

/** Time for which upstreams answer with repeated headers, ms. */
const REPEATED_HEADERS_MS = 2_000;

/** Share of the requests that are answered so meanwhile. */
const REPEATED_HEADERS_SHARE = 0.3;

/** Faults by what customers, upstreams and other daemons send (issue 52), by
 * kind. */
export const LOAD_FAULTS: Record<string, Fault> = {
  repeatedHeaders(harness) {
    const service = pickFrom(harness, ['a', 'b']);
    const upstreams = harness.upstreams.filter(u => u.service === service);
    if (upstreams.some(({respond}) => respond)) return undefined;
    const answered = new Set<string>();
    for (const upstream of upstreams) {
      upstream.respond = (id, res) => {
        // The second attempt gets no answer until the deadline.
        if (answered.has(id)) return true;
        if (harness.trafficRandom() >= REPEATED_HEADERS_SHARE) return false;
        answered.add(id);
        res.appendHeader('connection', ['x-first', 'x-second']);
        res.writeHead(500, {'x-server-stamp': `signed ${id}`}).end();
        return true;
      };
    }
    runRecovery(harness, async () => {
      await delay(REPEATED_HEADERS_MS);
      for (const upstream of upstreams) upstream.respond = undefined;
    });
    return `service ${service}`;
  },
};
