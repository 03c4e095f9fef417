export * from './types.js';
export * from './constants.js';
export * from './identifier.js';
export * from './load.js';
export * from './receive.js';
