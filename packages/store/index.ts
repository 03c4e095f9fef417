export * from './types.js';
export * from './constants.js';
export * from './http-store.js';
export * from './wire.js';
