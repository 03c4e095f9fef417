import {createRegistry} from '#kernel';
import type {RpcPeer} from '#transport';
import type {SupervisorContext} from './types.js';

/** Plug-ins of the agent that keeps the runs of one worker alive. */
export const supervisorPlugins = createRegistry<SupervisorContext, RpcPeer>('dotterelnotch-platform-agent');
