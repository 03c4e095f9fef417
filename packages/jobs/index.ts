export * from './types.js';
export * from './incarnation.js';
export * from './late-calls.js';
export * from './queues.js';
export * from './tasks.js';
export * from './admission.js';
export * from './memory.js';
export * from './ranges.js';
