export * from './types.js';
export * from './change.js';
export * from './constants.js';
export * from './differences.js';
export * from './history.js';
export * from './revision.js';
export * from './validate-lists.js';
