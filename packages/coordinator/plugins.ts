import {createRegistry} from '#kernel';
import type {RpcPeer} from '#transport';
import type {CoordinatorContext} from './types.js';

/** Registry of the plug-ins of the entry that schedules jobs of steps. */
export const coordinatorPlugins = createRegistry<CoordinatorContext, RpcPeer>('dotterelnotch-platform-entry');
