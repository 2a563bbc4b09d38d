/** Public API of the library. */
export * from './internal.js';
