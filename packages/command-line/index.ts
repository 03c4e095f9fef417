export * from './write-configuration.js';
