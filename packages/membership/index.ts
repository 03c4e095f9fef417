export * from './types.js';
export * from './view.js';
