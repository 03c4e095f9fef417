export * from './types.js';
export * from './constants.js';
export * from './queue.js';
export * from './choose-next.js';
export * from './deadlines.js';
export * from './admission.js';
export * from './retry-budget.js';
export * from './rate-limit.js';
