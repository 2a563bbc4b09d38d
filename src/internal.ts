// The import order is fixed here, so that modules never form an import cycle
// at load time: types, utils, core.
export * from './types/errors.js';
export * from './types/document.js';
export * from './types/messages.js';
export * from './types/events.js';
export * from './types/verdict.js';
export * from './types/headers.js';
export * from './types/settings.js';
export * from './utils/digest.js';
export * from './utils/hash.js';
export * from './utils/random.js';
export * from './utils/backoff.js';
export * from './utils/hlc.js';
export * from './utils/auth.js';
export * from './core/timeline.js';
export * from './core/config.js';
export * from './core/reader.js';
export * from './core/relay.js';
export * from './core/membership.js';
export * from './core/limits.js';
export * from './core/stall.js';
export * from './core/admission.js';
export * from './core/keys.js';
export * from './core/blackboard.js';
