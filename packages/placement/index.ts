export * from './types.js';
export * from './layout-types.js';
export * from './constants.js';
export * from './repair-layout.js';
export * from './guaranteed-cells.js';
export * from './check-feasibility.js';
export * from './place-gang.js';
export * from './measure-fragmentation.js';
