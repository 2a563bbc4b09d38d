'use strict';

// Stands in for optional modules that the libraries do without.
throw new Error('not in the bundle');
