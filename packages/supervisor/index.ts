export * from './types.js';
export * from './plugins.js';
export * from './ports.js';
export * from './constants.js';
export * from './settings.js';
export * from './start.js';
export * from './plugins/supervision.js';
