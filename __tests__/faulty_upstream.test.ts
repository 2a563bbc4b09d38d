import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {recordTargetSend} from '../src/internal.js';
import {
  answerOk,
  startHarness,
  until,
  type HarnessUpstream,
} from './support/sidecar_harness.js';

// Faults of upstreams that operators of similar systems have reported, as a
// customer or an upstream sees them.

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

const BOOKING = {path: '/book/1', method: 'POST', body: 'order'};

/** Starts two daemons; the first one sends to its own upstream if it can. */
async function startPair(t: ExecutionContext) {
  const harness = await startHarness(t, ['dc1', 'dc1']);
  const [own, other] = harness.upstreams;
  const {balance} = harness.sidecars[0].board;
  for (let i = 0; i < 50; i++) recordTargetSend(balance, other.id);
  return {harness, own, other};
}

function countRuns(upstreams: HarnessUpstream[], id: string): number {
  const runs = upstreams.flatMap(upstream => upstream.runs);
  return runs.filter(run => run === id).length;
}

/** Formats an answer as an upstream writes it to the connection. */
function formatAnswer(
  status: string,
  headers: Record<string, string>,
  body = '',
): string {
  const lines = Object.entries({
    ...headers,
    'content-length': String(body.length),
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n${body}`;
}

/** Sends the refused request `a`; resolves once its connection can be reused. */
async function sendRefused(
  harness: Awaited<ReturnType<typeof startPair>>['harness'],
  own: HarnessUpstream,
): Promise<Socket> {
  let socket: Socket | undefined;
  own.handle = (req, res) => {
    socket = req.socket;
    res.writeHead(503, {'x-request-id': 'a', 'x-not-run': '1'}).end();
  };
  // Without attempts left the refusal ends the request.
  await harness.send(0, {...BOOKING, id: 'a'});
  await until(() => socket);
  return socket as Socket;
}

const EARLIER_REFUSALS: Record<string, string> = {
  'with its id': formatAnswer('503 Busy', {
    'x-request-id': 'a',
    'x-not-run': '1',
  }),
  'without an id': formatAnswer('503 Busy', {'x-not-run': '1'}),
  'as 421 without an id': formatAnswer('421 Other', {}),
  'as 421 with its id': formatAnswer('421 Other', {'x-request-id': 'a'}),
  'as the answer to a health check': formatAnswer('503 Failing', {
    'x-instance-id': 'u0',
  }),
  'as 429 without an id': formatAnswer('429 Busy', {}),
  'as 408 without an id': formatAnswer('408 Late', {}),
};

for (const [kind, bytes] of Object.entries(EARLIER_REFUSALS)) {
  // Customers were told that a running booking had not run, or it also ran at a
  // second upstream.
  test.serial(
    `an earlier refusal written again ${kind} is no refusal`,
    async t => {
      const {harness, own, other} = await startPair(t);
      const kept = await sendRefused(harness, own);
      const runsBefore = other.runs.length;
      let reused = false;
      own.handle = (req, res) => {
        reused = req.socket === kept;
        req.socket.write(bytes);
        const timer = setTimeout(() => answerOk(req, res), 100);
        // An upstream stops work when its caller disconnects.
        req.socket.once('end', () => {
          clearTimeout(timer);
          req.socket.destroy();
        });
      };
      const {status} = await harness.send(0, {...BOOKING, id: 'b'});
      t.true(reused);
      t.false(NOT_RUN_STATUSES.includes(status), `status ${status}`);
      t.is(countRuns([own, other], 'b'), 1);
      t.is(other.runs.length, runsBefore);
    },
  );
}

// A copy of the answer to a health check, which bears no id, ended the booking
// that came next on the connection.
test.serial('no request follows a health check on its connection', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [own] = harness.upstreams;
  const [{board}] = harness.sidecars;
  const checks = () => board.counters.get('health_checks') ?? 0;
  own.handle = req => req.socket.resetAndDestroy();
  const before = checks();
  t.is((await harness.send(0, {...BOOKING, id: 'a'})).status, 502);
  await until(() => checks() > before && own.checks.length > before);
  t.is(own.checks.at(-1)?.headers.connection, 'close');
});

// The next customer got an answer that was not its own, and so did all later
// ones on that connection.
test.serial('a late second copy of an answer reaches nobody', async t => {
  const {harness, own, other} = await startPair(t);
  const headers = {'x-server-stamp': 'signed'};
  const copy = formatAnswer(
    '200 OK',
    {...headers, 'x-request-id': 'a'},
    'of a',
  );
  own.handle = req => void req.socket.write(copy);
  t.is((await harness.send(0, {...BOOKING, id: 'a'})).body, 'of a');
  own.handle = (req, res) => {
    const id = String(req.headers['x-request-id']);
    if (id === 'b') req.socket.write(copy);
    answerOk(req, res, `of ${id}`);
  };
  const crossed = await harness.send(0, {...BOOKING, id: 'b'});
  t.not(crossed.body, 'of a');
  t.false(NOT_RUN_STATUSES.includes(crossed.status));
  for (const id of ['c', 'd', 'e']) {
    const {status, body} = await harness.send(0, {...BOOKING, id});
    t.deepEqual({status, body}, {status: 200, body: `of ${id}`});
  }
  t.is(other.runs.length, 0);
});

// The request that runs on the connection of the copy ends as broken, although
// its own answer would follow.
test.serial.failing('a late second copy does not end a request', async t => {
  const {harness, own} = await startPair(t);
  const headers = {'x-server-stamp': 'signed', 'x-request-id': 'a'};
  const copy = formatAnswer('200 OK', headers, 'of a');
  own.handle = (req, res) => answerOk(req, res, 'of a');
  await harness.send(0, {...BOOKING, id: 'a'});
  own.handle = (req, res) => {
    req.socket.write(copy);
    setTimeout(() => answerOk(req, res, 'of b'), 50);
  };
  const {status, body} = await harness.send(0, {...BOOKING, id: 'b'});
  t.deepEqual({status, body}, {status: 200, body: 'of b'});
});

// A copy that comes while the connection is idle must not wait there for the
// next request.
test.serial('a second copy on an idle connection closes it', async t => {
  const {harness, own} = await startPair(t);
  const headers = {'x-server-stamp': 'signed', 'x-request-id': 'a'};
  const copy = formatAnswer('200 OK', headers, 'of a');
  let socket: Socket | undefined;
  own.handle = req => {
    socket = req.socket;
    req.socket.write(copy);
  };
  await harness.send(0, {...BOOKING, id: 'a'});
  socket?.write(copy);
  await until(() => socket?.destroyed);
  own.handle = (req, res) => answerOk(req, res, 'of b');
  t.is((await harness.send(0, {...BOOKING, id: 'b'})).body, 'of b');
});

const BROKEN_ANSWERS: Record<string, (res: ServerResponse) => void> = {
  'with a length': res => {
    res.writeHead(200, {'content-length': 100}).write('half');
    setTimeout(() => res.socket?.destroy(), 20);
  },
  'in chunks': res => {
    res.writeHead(200).write('half');
    setTimeout(() => res.socket?.destroy(), 20);
  },
  'without either, by a reset': res => {
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {connection: 'close'}).write('half');
    setTimeout(() => (res.socket as Socket).resetAndDestroy(), 20);
  },
  'without either, by a reset at once': res => resetAtOnce(res, 'half'),
  'in a long part without either, by a reset at once': res =>
    resetAtOnce(res, 'half'.repeat(5_000)),
  'before its body without a length, by a reset at once': res =>
    resetAtOnce(res, ''),
};

/** Resets the connection at once: the bytes and the reset are read together. */
function resetAtOnce(res: ServerResponse, body: string): void {
  res.useChunkedEncodingByDefault = false;
  res.writeHead(200, {connection: 'close'});
  if (body) res.write(body);
  else res.flushHeaders();
  res.socket?.uncork();
  (res.socket as Socket).resetAndDestroy();
}

for (const [kind, breakOff] of Object.entries(BROKEN_ANSWERS)) {
  // Customers took half an answer for the whole one.
  test.serial(`an answer broken off ${kind} is no success`, async t => {
    const {harness, own, other} = await startPair(t);
    own.handle = (req, res) => {
      res.setHeader('x-request-id', String(req.headers['x-request-id']));
      res.setHeader('x-server-stamp', 'signed');
      breakOff(res);
    };
    const answer = await harness.send(0, {...BOOKING, id: 'a'});
    t.true(answer.status === 502 || answer.broken, `status ${answer.status}`);
    t.is(countRuns([own, other], 'a'), 1);
  });
}

// A booking whose answer was lost ran again, or its customer was told that it
// had not run.
test.serial('a booking whose answer is lost runs once', async t => {
  const {harness, own, other} = await startPair(t);
  own.handle = req => void req.socket.resetAndDestroy();
  const {status} = await harness.send(0, {...BOOKING, id: 'a'});
  t.is(status, 502);
  t.is(countRuns([own, other], 'a'), 1);
});

// A daemon that was only silent for a while had its running booking started
// again elsewhere, or given up.
test.serial('a booking waits for a daemon that is silent', async t => {
  const harness = await startHarness(t, ['dc1']);
  const [own] = harness.upstreams;
  const [{board}] = harness.sidecars;
  let runs = 0;
  await harness.addPeer(t, 'dc1', (req, res) => {
    // Probes get no answer while the daemon is silent.
    if (req.method !== 'POST') return;
    runs++;
    setTimeout(() => {
      res.setHeader('berylbend-load', '1,0,8,5,0,0');
      answerOk(req, res, 'late but whole');
    }, 2_500);
  });
  harness.publish({
    routes: [
      {
        name: 'book',
        host: 'shop.example',
        path_prefix: '/book/',
        kind: 'non_idempotent',
        timeout: '5s',
        goal: '1s',
        priority: 0,
        service: 's',
        attempts: 2,
      },
    ],
  });
  await until(
    () => board.list.byId.has('peer') && board.table?.config.version === 7,
  );
  for (let i = 0; i < 50; i++) recordTargetSend(board.balance, own.id);
  const answer = await harness.send(0, {...BOOKING, deadlineMs: 5_000});
  t.is(answer.body, 'late but whole');
  t.is(runs, 1);
  t.is(own.runs.length, 0);
  t.true((board.counters.get('peer_silences') ?? 0) > 0);
});

// After a restart without the store an upstream that had left was in use again.
test.serial('a restarted daemon does not list upstreams that left', async t => {
  const harness = await startHarness(t, ['dc1', 'dc1']);
  const [{board}] = harness.sidecars;
  harness.store.remove('servers/u1');
  await until(() => !board.list.byId.has('u1'));
  harness.store.down = true;
  const late = await harness.startAnother('dc1');
  await until(() => late.board.list.complete);
  t.deepEqual([...late.board.list.byId.keys()], ['u0']);
  t.false(late.board.mirror.items.has('servers/u1'));
});

/** Ways in which an upstream closes in the middle of the head of its answer. */
const HEAD_CUTS: Record<string, (socket: Socket, part: string) => void> = {
  'in order': (socket, part) => void socket.end(part),
  'by a reset': (socket, part) => {
    socket.write(part);
    socket.resetAndDestroy();
  },
};

for (const [kind, cut] of Object.entries(HEAD_CUTS)) {
  // Reported by another operator: customers got 200 with an empty or short body
  // and a length, as if it were whole.
  test.serial(`an answer whose head is cut ${kind} is no success`, async t => {
    const harness = await startHarness(t, ['dc1']);
    const [own] = harness.upstreams;
    const [{board}] = harness.sidecars;
    const headers = {'x-server-stamp': 'signed', connection: 'close'};
    const format = (id: string) =>
      formatAnswer('200 OK', {...headers, 'x-request-id': id}, 'whole');
    const length = format('c100').indexOf('\r\n\r\n') + 4;
    for (let i = 0; i < length; i++) {
      const id = `c${100 + i}`;
      own.handle = req => cut(req.socket, format(id).slice(0, i));
      const {status} = await harness.send(0, {...BOOKING, id});
      t.not(status, 200, `cut after ${i} bytes`);
      // The broken answer must not keep the next one from this upstream.
      board.balance.clear();
      await until(() => !board.limiter.down);
    }
    t.true(own.runs.length > length / 2, `${own.runs.length} runs`);
  });
}

const RESENDS: Record<
  string,
  (req: IncomingMessage, res: ServerResponse) => void
> = {
  'is refused': (req, res) => {
    const id = String(req.headers['x-request-id']);
    res.writeHead(503, {'x-request-id': id, 'x-not-run': '1'}).end();
  },
  breaks: req => req.socket.resetAndDestroy(),
  'gets no answer': () => {},
};

for (const [kind, handleResend] of Object.entries(RESENDS)) {
  // The error answer of an upstream that had run the request was replaced by a
  // status of the daemon, which could say that it has not run.
  test.serial(`an error answer is kept when the resend ${kind}`, async t => {
    const {harness} = await startPair(t);
    let arrivals = 0;
    for (const upstream of harness.upstreams) {
      upstream.handle = (req, res) => {
        const id = String(req.headers['x-request-id']);
        const headers = {'x-request-id': id, 'x-server-stamp': 'signed'};
        if (arrivals++ > 0) handleResend(req, res);
        else res.writeHead(500, headers).end('failed');
      };
    }
    const answer = await harness.send(0, {path: '/read/1'});
    t.is(arrivals, 2);
    t.is(answer.status, 500);
    t.is(answer.headers['x-server-stamp'], 'signed');
  });
}
