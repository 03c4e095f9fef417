import {createRegistry} from '#kernel';
import type {RpcPeer} from '#transport';
import type {SupervisorContext} from './types.js';

/** Plug-ins of the agent that supervises one worker. */
export const supervisorPlugins = createRegistry<SupervisorContext, RpcPeer>('dotterelnotch-platform-agent');
