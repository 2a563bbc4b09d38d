'use strict';

// The assertions that the bundled libraries use, without those of node:assert
// that compare and print values.
class AssertionError extends Error {}

function assert(value, message) {
  if (!value) throw new AssertionError(String(message ?? 'assertion failed'));
}

module.exports = Object.assign(assert, {
  AssertionError,
  ok: assert,
  equal: (actual, expected, message) => assert(actual == expected, message),
});
