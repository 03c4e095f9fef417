export * from './types.js';
export * from './constants.js';
export * from './receive.js';
