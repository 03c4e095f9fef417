export * from './types.js';
export * from './transitions.js';
export * from './describe.js';
