export * from './types.js';
export * from './merge.js';
