export * from './types.js';
export * from './incarnation.js';
export * from './late-calls.js';
export * from './queues.js';
export * from './tasks.js';
