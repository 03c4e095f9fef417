export * from './model.js';
export * from './scenarios.js';
