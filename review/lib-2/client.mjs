// Stand-in for a client on a machine: one attempt on a new connection.
import {request} from 'node:http';
import {PORTS} from './daemons.mjs';

let count = 0;

/** Makes a new request id. */
export function makeId(prefix) {
  return `${prefix}-${(++count).toString(16).padStart(6, '0')}`;
}

/** Sends one client attempt; resolves to its status, or 0 without an answer. */
export function send(daemon, {id, method, host, path, body, deadlineMs}) {
  return new Promise(resolve => {
    const req = request({
      host: daemon.host,
      port: PORTS.outbound,
      method,
      path,
      agent: false,
      headers: {
        host,
        'x-request-id': id,
        'x-deadline-ms': String(deadlineMs),
        ...(body === undefined ? {} : {'content-length': body.length}),
      },
    });
    const timer = setTimeout(() => req.destroy(), deadlineMs);
    const end = (status, headers = {}) => {
      clearTimeout(timer);
      resolve({status, headers});
    };
    req.on('error', () => end(0));
    req.on('response', res => {
      res.on('error', () => end(0));
      res.on('end', () => end(res.statusCode, res.headers));
      res.resume();
    });
    req.end(body);
  });
}
