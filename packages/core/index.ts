export * from './types.js';
export * from './assert-never.js';
export * from './check.js';
export * from './errors.js';
export * from './hash.js';
export * from './random.js';
export * from './refusals.js';
export * from './work.js';
