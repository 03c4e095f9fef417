export * from './model.js';
export * from './scenarios.js';
export * from './report.js';
export * from './losses.js';
