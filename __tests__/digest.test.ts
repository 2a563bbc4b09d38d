import test from 'ava';
import {canonicalJson, computeDigest} from '../src/internal.js';

test('equal data in another key order gives the same digest', t => {
  const a = {x: 1, y: {b: [1, 2], a: null}};
  const b = {y: {a: null, b: [1, 2]}, x: 1};
  t.is(computeDigest(a), computeDigest(b));
  t.snapshot(canonicalJson(a));
});

test('an undefined field does not change the digest', t => {
  t.is(computeDigest({x: 1, y: undefined}), computeDigest({x: 1}));
});
