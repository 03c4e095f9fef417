export * from './store/serve.js';
export * from './worker/serve.js';
