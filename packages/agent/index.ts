export * from './settings.js';
export * from './start.js';
export type * from './worker-types.js';
