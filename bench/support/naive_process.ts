import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {createNaiveProxy} from '../../__tests__/support/naive_proxy.js';

// Runs the tests' naive proxy as a process; the arguments are upstream URLs.
const upstreams = process.argv.slice(2).map(text => {
  const url = new URL(text);
  return {host: url.hostname, peerPort: Number(url.port)};
});
const server = http.createServer(createNaiveProxy(upstreams, {reuse: true}));
server.listen(0, '127.0.0.1', () => {
  process.send?.((server.address() as AddressInfo).port);
});
process.on('disconnect', () => process.exit(0));
