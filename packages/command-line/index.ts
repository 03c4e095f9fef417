export * from './types.js';
export * from './constants.js';
export * from './errors.js';
export * from './lists-file.js';
export * from './lists-schema.js';
export * from './run.js';
export * from './write-configuration.js';
