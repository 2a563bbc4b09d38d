// Stand-in for an application backend: `slots` requests at once and a few
// queued, one request at a time on a connection, answers with the id and a
// signature. Options that differ from a plain backend: `failing` (its health
// check says 503), `copyEvery` (one answer in so many is written a second time,
// late: while the next request of the connection runs; for `copyForMs` from the
// first answer on), `bodyBytes` (the size of its answers) and `answer` (replaces
// how an answer is written).
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:net';
import {createParser, formatMessage} from './http_bytes.mjs';

const HEALTH_PATH = '/healthz';

/** Starts a backend. `onRun` is called when it begins to work on a request. */
export async function startBackend(options) {
  const {id, host, port, service, slots, workMs, record, onRun} = options;
  const queue = [];
  const sockets = new Set();
  let busy = 0;
  let stamps = 0;
  let answers = 0;
  let firstAnswerAt;
  const next = () => {
    while (busy < slots && queue.length > 0) run(queue.shift());
  };
  const run = job => {
    busy++;
    const {socket, message} = job;
    const {first, headers} = message;
    if (first.startsWith(`GET ${HEALTH_PATH} `)) {
      job.health = true;
      record.write(id, 'health check');
    } else {
      const requestId = headers['x-request-id'];
      record.write(id, `runs ${requestId}: ${first}`);
      onRun({backend: id, requestId, message, at: performance.now()});
    }
    const ms = job.health ? 1 : workMs;
    const timer = setTimeout(end, ms);
    if (socket.lateCopy) {
      record.write(id, `writes a second time: ${socket.lateCopy.of}`);
      socket.write(socket.lateCopy.bytes);
      socket.lateCopy = undefined;
    }
    // Like most backends, it drops a request when its connection closes.
    socket.once('close', end);
    function end() {
      clearTimeout(timer);
      socket.off('close', end);
      busy--;
      if (!socket.destroyed) answer(job);
      next();
    }
  };
  const answer = job => {
    const {socket, message, health} = job;
    const requestId = message.headers['x-request-id'];
    const own = health
      ? {'X-Instance-Id': id}
      : {
          'X-Request-Id': requestId,
          'X-Server-Stamp': `${id}.${++stamps}.${randomBytes(4).toString('hex')}`,
        };
    if (options.answer?.({...job, own, requestId})) return;
    const size = options.bodyBytes ?? 0;
    const body = health ? '' : `answer to ${requestId}`.padEnd(size, 'x');
    const isDown = health && options.failing;
    const first = `HTTP/1.1 ${isDown ? '503 Service Unavailable' : '200 OK'}`;
    const bytes = formatMessage(first, own, body);
    const of = `${first} to ${requestId ?? 'a health check'}`;
    socket.write(bytes);
    record.write(id, `answers ${of}`);
    if (!options.copyEvery) return;
    firstAnswerAt ??= performance.now();
    const isDue = answers++ % options.copyEvery === 0;
    if (isDue && performance.now() - firstAnswerAt < options.copyForMs) {
      socket.lateCopy = {of, bytes};
    }
  };
  const accept = (socket, message) => {
    const {headers, first} = message;
    const expected = headers['x-expect-instance'];
    const requestId = headers['x-request-id'];
    const refuse = (status, extra) => {
      const own = {...(requestId && {'X-Request-Id': requestId}), ...extra};
      socket.write(formatMessage(`HTTP/1.1 ${status}`, own, ''));
      record.write(id, `refuses ${requestId} ${status}`);
    };
    if (expected !== undefined && expected !== id) {
      return refuse('421 Misdirected Request', {'X-Instance-Id': id});
    }
    const isHealth = first.startsWith(`GET ${HEALTH_PATH} `);
    if (!isHealth && !requestId) {
      return refuse('400 Bad Request', {'X-Not-Run': 1});
    }
    if (queue.length >= 2 * slots) {
      return refuse('503 Service Unavailable', {'X-Not-Run': 1});
    }
    queue.push({socket, message});
    next();
  };
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
    socket.on(
      'data',
      createParser(message => accept(socket, message)),
    );
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    id,
    host,
    port,
    service,
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
