export * from './settings.js';
export * from './start.js';
