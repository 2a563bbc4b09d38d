import {Socket} from 'node:net';
import test from 'ava';
import {createUnreadTime} from '../src/sidecar/unread_time.js';

function createHarness() {
  const state = {now: 0, lagMs: 0};
  const unread = createUnreadTime({read: () => state.lagMs}, () => state.now);
  const socket = new Socket();
  const accept = (lagMs: number) => {
    state.lagMs = lagMs;
    unread.recordAccept(socket);
  };
  const read = (afterMs: number, lagMs: number) => {
    state.now += afterMs;
    state.lagMs = lagMs;
    return unread.read(socket);
  };
  return {accept, read};
}

// Requests of customers who had left reached upstreams: a busy daemon accepts a
// connection in one iteration of its event loop and reads from it in the next.
test('the first request of a connection waited for its accept too', t => {
  const {accept, read} = createHarness();
  accept(300);
  t.is(read(150, 300), 600);
  t.is(read(150, 300), 300);
});

test('an idle time before the first request does not count', t => {
  const {accept, read} = createHarness();
  accept(300);
  t.is(read(2_000, 100), 100);
});
