import {createRegistry} from '#kernel';
import type {CommandContext} from './types.js';

export const commandPlugins = createRegistry<CommandContext>('dotterelnotch');
