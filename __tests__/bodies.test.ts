import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import test from 'ava';
import {startHarness, until} from './support/sidecar_harness.js';

const MB = 1_048_576;

/** Memory for bodies: 0.15 of the 128 MB of a daemon of the tests. */
const MEMORY_BYTES = 0.15 * 128 * MB;

/** Bodies that fit one by one, and not all together. */
const BODIES = 5;
const BODY_BYTES = 5 * MB;

const FRAMES = {
  'in chunks': {
    header: 'transfer-encoding: chunked',
    start: `${BODY_BYTES.toString(16)}\r\n`,
  },
  'with a length': {header: `content-length: ${BODY_BYTES + 1}`, start: ''},
};

for (const [kind, {header, start}] of Object.entries(FRAMES)) {
  // Each body was checked against the free memory alone, so that several at once
  // took more than the daemon has.
  test.serial(`bodies ${kind} share the memory`, async t => {
    const harness = await startHarness(t, ['dc1']);
    const [{board}] = harness.sidecars;
    harness.publish({
      limits: {
        max_header_bytes: 4_096,
        max_body_bytes: 64 * MB,
        header_timeout: '3s',
        idle_timeout: '5s',
      },
    });
    await until(() => board.table?.config.limits.bodyBytes === 64 * MB);
    const {host, customerPort} = board.settings;
    const answers: string[] = [];
    const sockets: Socket[] = [];
    for (let i = 0; i < BODIES; i++) {
      const socket = connect(customerPort, host);
      sockets.push(socket);
      t.teardown(() => socket.destroy());
      socket.on('error', () => {});
      socket.on('data', (chunk: Buffer) => answers.push(chunk.toString()));
      await once(socket, 'connect');
      const head = [
        'POST /slow/1 HTTP/1.1',
        'host: shop.example',
        `x-request-id: b${i}`,
        'x-deadline-ms: 5000',
        header,
      ];
      socket.write(`${head.join('\r\n')}\r\n\r\n${start}`);
      // The last byte of each body is missing, so that all are held at once.
      socket.write(Buffer.alloc(BODY_BYTES, 'x'));
    }
    await until(() => answers.length > 0);
    t.true(BODIES * BODY_BYTES > MEMORY_BYTES);
    for (const answer of answers) t.regex(answer, /^HTTP\/1.1 503 /);
    t.true(answers.length < BODIES);
    for (const socket of sockets) socket.destroy();
    await until(() => board.counters.get('entry_cancelled'));
    t.deepEqual(harness.upstreams[0].runs, []);
  });
}
