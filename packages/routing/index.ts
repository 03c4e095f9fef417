export * from './types.js';
export * from './constants.js';
export * from './choose-worker.js';
export * from './health.js';
export * from './loads.js';
export * from './service-times.js';
