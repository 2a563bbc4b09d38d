import test from 'ava';
import {
  MEMBER_BUCKETS,
  parseMessage,
  type PeerMessage,
} from '../src/internal.js';
import {decodeFrame, encodeFrame} from '../src/daemon/frames.js';

const BEAT: PeerMessage = {
  t: 'beat',
  hlc: [1_796_369_291_906, 3],
  index: 17,
  version: 17,
  digest: 'a'.repeat(32),
  sourceAgeMs: -1,
  buckets: [],
  confirmed: false,
};

const MESSAGES: PeerMessage[] = [
  BEAT,
  {...BEAT, buckets: new Array<number>(MEMBER_BUCKETS).fill(7), echo: 9},
  {
    t: 'entries',
    after: 0,
    entries: [{index: 1, prev: 0, kind: 'patch', value: null}],
  },
  {t: 'want', after: 0, version: 0, digest: ''},
  {t: 'busy', retryAfterMs: 0},
  {t: 'wantMembers', buckets: []},
];

test('a message is unchanged by encoding and decoding', t => {
  for (const msg of MESSAGES) {
    t.deepEqual(parseMessage(decodeFrame(encodeFrame(msg))), {ok: true, msg});
  }
});

test('a heartbeat with only part of the bucket hashes is refused', t => {
  t.false(parseMessage({...BEAT, buckets: [1]}).ok);
});
