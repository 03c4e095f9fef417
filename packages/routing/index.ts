export * from './types.js';
export * from './choose-worker.js';
