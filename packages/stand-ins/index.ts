export * from './store/memory-store.js';
export * from './store/serve.js';
export type {StoreSwitches} from './store/types.js';
export * from './worker/serve.js';
export type {ExecutionRecord} from './worker/types.js';
