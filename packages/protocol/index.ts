export * from './types.js';
export * from './constants.js';
export * from './methods.js';
export * from './scheduling.js';
export * from './explain.js';
export * from './caller-refusals.js';
