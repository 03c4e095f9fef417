import {createRegistry} from '#kernel';
import type {WorkerContext} from './types.js';

export const workerPlugins = createRegistry<WorkerContext>('stand-in-worker');
