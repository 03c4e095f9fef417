export * from './types.js';
export * from './plugins.js';
export * from './ports.js';
export * from './settings.js';
export * from './start.js';
export * from './plugins/callers.js';
export * from './plugins/fronts.js';
export {readReadiness} from './plugins/operations.js';
