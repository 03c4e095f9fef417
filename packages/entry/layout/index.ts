export * from './types.js';
export * from './constants.js';
export * from './inventory.js';
export * from './receive.js';
export * from './slice.js';
export * from './watch.js';
export * from './zone-view.js';
export * from './plan-changes.js';
