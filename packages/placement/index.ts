export * from './types.js';
export * from './place-gang.js';
