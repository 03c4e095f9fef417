import {createRegistry} from '#kernel';
import type {RpcPeer} from '#transport';
import type {EntryContext} from './types.js';

export const entryPlugins = createRegistry<EntryContext, RpcPeer>('dotterelnotch-entry');
