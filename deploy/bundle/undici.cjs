'use strict';

// The parts of undici that the daemon uses. Its index also loads fetch,
// WebSocket and caches, here and inside Node.
const Dispatcher = require('../../node_modules/undici/lib/dispatcher/dispatcher.js');
Dispatcher.prototype.request = require('../../node_modules/undici/lib/api/api-request.js');
exports.Pool = require('../../node_modules/undici/lib/dispatcher/pool.js');
exports.buildConnector = require('../../node_modules/undici/lib/core/connect.js');
