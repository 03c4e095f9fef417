export * from './jobs/index.js';
