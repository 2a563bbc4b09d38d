'use strict';

// undici loads node:http2 for connections that the daemon never opens.
exports.constants = {};
