import {createRegistry} from '#kernel';
import type {StoreContext} from './types.js';

export const storePlugins = createRegistry<StoreContext>('stand-in-store');
