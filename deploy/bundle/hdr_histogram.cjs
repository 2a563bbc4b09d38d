'use strict';

// Histograms without the writer of log files, which formats numbers by locale.
const builder = require('../../node_modules/hdr-histogram-js/dist/HistogramBuilder.js');
exports.build = builder.build;
