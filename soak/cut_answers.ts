import {request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {ReceivedAnswer} from './checker.js';
import {type Daemon, PORTS} from './daemons.js';
import {
  type Fault,
  type Harness,
  markDisrupted,
  pickRunningDaemon,
  restartDaemon,
  runRecovery,
} from './harness.js';
import {recordLargeRequest} from './slow_readers.js';

/** Requests of one such fault, each for a large answer. */
const REQUESTS = 4;

/** Size of an answer, bytes. The kernel takes up to 4 MB of it, and still delivers
 * that after the kill. */
const ANSWER_BYTES = 8_000_000;

/** Time between two requests, ms; upstreams refuse more at the same time. */
const REQUEST_INTERVAL_MS = 60;

/** Time from the last request to the kill, ms: most answers have begun by then. */
const KILL_DELAY_MS = 700;

/** True while such answers are on their way. */
let isUnderWay = false;

/** A daemon that is killed within answers for which upstreams state no length. */
export const cutAnswers: Fault = harness => {
  if (isUnderWay) return undefined;
  const daemon = pickRunningDaemon(harness);
  if (!daemon) return undefined;
  const fault = harness.faults.length;
  isUnderWay = true;
  for (const upstream of harness.upstreams) upstream.statesLength = false;
  runRecovery(harness, async () => {
    const {incarnation} = daemon;
    const kill = new AbortController();
    const answers: Array<Promise<void>> = [];
    for (let i = 0; i < REQUESTS; i++) {
      const id = `c${fault}-${i}`;
      answers.push(requestLarge(harness, daemon, id, kill.signal));
      await delay(REQUEST_INTERVAL_MS);
    }
    await delay(KILL_DELAY_MS);
    // Another fault may have ended it.
    if (daemon.running && daemon.incarnation === incarnation) {
      markDisrupted(harness, daemon);
      daemon.signal('SIGKILL');
    }
    await daemon.waitForExit();
    kill.abort();
    await Promise.all(answers);
    restartDaemon(harness, daemon);
    for (const upstream of harness.upstreams) upstream.statesLength = true;
    isUnderWay = false;
  });
  return `${REQUESTS} answers of ${daemon.name}`;
};

/** Requests a large answer, reads it only after the kill, and checks it. */
async function requestLarge(
  harness: Harness,
  daemon: Daemon,
  id: string,
  kill: AbortSignal,
): Promise<void> {
  const path = recordLargeRequest(harness, daemon, id, ANSWER_BYTES);
  const answer = await new Promise<ReceivedAnswer>(resolve => {
    const req = request({
      ...{host: daemon.host, port: PORTS.customer, path, agent: false},
      headers: {host: 'shop.example', 'x-request-id': id},
    });
    req.on('error', () => resolve({status: 0, body: '', cut: true}));
    req.on('response', res => {
      const {statusCode: status = 0, headers} = res;
      const stamp = headers['x-server-stamp'] as string | undefined;
      let bytes = 0;
      const end = (cut: boolean) => {
        // The checker knows the text without what fills it up.
        const isWhole = bytes === ANSWER_BYTES;
        const body = isWhole ? `body of ${id}` : `${bytes} bytes`;
        resolve({status, stamp, body, cut});
      };
      const read = () => {
        res.on('data', (chunk: Buffer) => (bytes += chunk.length));
        res.on('end', () => end(false));
      };
      res.on('error', () => end(true));
      if (kill.aborted) read();
      else kill.addEventListener('abort', read, {once: true});
    });
    req.end();
  });
  harness.checker.recordAnswer(id, answer, true);
}
