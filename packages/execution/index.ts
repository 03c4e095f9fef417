export * from './types.js';
export * from './ledger.js';
