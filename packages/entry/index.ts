export * from './entries.js';
export * from './settings.js';
export * from './start.js';
