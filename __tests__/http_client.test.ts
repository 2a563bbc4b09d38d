import test from 'ava';
import {createHttpClient} from '../src/sidecar/http_client.js';

const OPTIONS = {connections: 1, connectTimeoutMs: 200, keepAliveMs: 100};

const BAD_ORIGINS = {
  'padded octets': 'http://010.001.000.008:8301',
  'a port out of range': 'http://127.0.0.1:99999',
  'no host': 'http://',
};

for (const [kind, origin] of Object.entries(BAD_ORIGINS)) {
  // The call threw in a timer or a loop, which ended the process.
  test(`a request to an address with ${kind} ends as unsent`, async t => {
    const client = createHttpClient(OPTIONS);
    t.teardown(() => client.close());
    const request = {method: 'GET', path: '/', headers: [], body: undefined};
    const {result} = client.send(origin, request, 0);
    t.is((await result).kind, 'unsent');
  });
}
