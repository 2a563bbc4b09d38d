// Stand-in for a client: one kept connection, one request at a time.
import {connect} from 'node:net';
import {createParser, formatMessage} from './http_bytes.mjs';

/** Round trip between a client and a daemon on the platform, ms: 8 ms one way. */
const ROUND_TRIP_MS = 16;

/**
 * Opens a connection; resolves once it is established. After an answer with
 * `Connection: close` the client closes it, as late as it would on the
 * platform's links.
 */
export function openClient(host, port) {
  return new Promise((resolve, reject) => {
    const socket = connect(port, host);
    let settle;
    const end = result => {
      settle?.(result);
      settle = undefined;
    };
    const parse = createParser(({first, headers, body}) => {
      const status = Number(first.split(' ')[1]);
      if (status < 200) return;
      if (/close/i.test(headers.connection ?? '')) {
        setTimeout(() => socket.destroy(), ROUND_TRIP_MS);
      }
      end({status, headers, body});
    });
    socket.on('data', parse);
    socket.once('error', reject);
    socket.on('error', () => {});
    socket.on('close', () => end({status: 0, headers: {}, body: ''}));
    socket.once('connect', () => {
      resolve({
        socket,
        /** Sends a request; status 0 means a closed connection, -1 none in time. */
        send(first, headers, body, waitMs) {
          return new Promise(done => {
            const timer = setTimeout(
              () => end({status: -1, headers: {}}),
              waitMs,
            );
            settle = result => {
              clearTimeout(timer);
              done(result);
            };
            socket.write(formatMessage(first, headers, body));
          });
        },
        close: () => socket.destroy(),
      });
    });
  });
}

/**
 * Sends one request on a connection of its own and reads the answer slowly, at
 * about `bytesPerS`. Resolves when the connection ends: `clean` tells whether it
 * ended in order, as an answer without a length does. `onHead` is called when
 * the head of the answer is complete.
 */
export function download(host, port, bytes, bytesPerS, onHead) {
  return new Promise(resolve => {
    const socket = connect(port, host, () => socket.write(bytes));
    let head;
    let text = Buffer.alloc(0);
    let received = 0;
    let error = false;
    socket.on('data', chunk => {
      received += chunk.length;
      if (!head) {
        text = Buffer.concat([text, chunk]);
        const end = text.indexOf('\r\n\r\n');
        if (end >= 0) {
          head = text.toString('latin1', 0, end);
          received = text.length - end - 4;
          onHead(head);
        }
      }
      socket.pause();
      setTimeout(() => socket.resume(), (chunk.length * 1_000) / bytesPerS);
    });
    socket.on('error', () => (error = true));
    let ended = false;
    socket.on('end', () => (ended = true));
    socket.on('close', () => {
      resolve({head: head ?? '', received, clean: ended && !error});
    });
  });
}
