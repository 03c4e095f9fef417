export * from './types.js';
export * from './client.js';
export * from './constants.js';
export * from './decide.js';
