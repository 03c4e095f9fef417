import {createRegistry} from '#kernel';
import type {RpcPeer} from '#transport';
import type {AgentContext} from './types.js';

export const agentPlugins = createRegistry<AgentContext, RpcPeer>('dotterelnotch-agent');
