'use strict';

// Without a handler these signals end the process, and loading the bundle takes
// most of a start. No signal is lost: the settings file is read later, and a
// signal to stop is handed on once the event loop runs, also to the handlers that
// the bundle registers while it loads.
if (require.main === module) {
  for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT']) {
    process.on(signal, () => {});
  }
}

// Runs the bundle from its code cache: compiling it takes longer than the rest
// of a start. V8 ignores a cache of another version, architecture or set of
// flags.
const {existsSync, readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

const filename = join(__dirname, 'berylbend.cjs');
const cacheFile = join(__dirname, 'berylbend.cache');

/** Compiles the bundle as the body of a function, as `require` does. */
function compileBundle() {
  // esbuild writes ASCII, which takes one byte a character in memory.
  const source = readFileSync(filename, 'latin1');
  return new Script(`(function(require,module,exports){${source}\n})`, {
    filename,
    cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
  });
}

/** Runs a compiled bundle. */
function runBundle(script) {
  const bundle = {exports: {}};
  script.runInThisContext()(require, bundle, bundle.exports);
}

module.exports = {cacheFile, compileBundle, runBundle};
if (require.main === module) runBundle(compileBundle());
