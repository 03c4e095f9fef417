export * from './types.js';
export * from './life.js';
export * from './queues.js';
export * from './tasks.js';
