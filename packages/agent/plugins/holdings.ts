import {createServiceKey} from '#kernel';
import type {Holding} from '#protocol';
import {agentPlugins} from '../plugins.js';

/** Lists the accelerators that gang members hold on the worker. The plug-in for reservations replaces this default, which lists none. */
export const holdingsService = createServiceKey<() => readonly Holding[]>('holdings');

agentPlugins.register({
	kind: 'task',
	name: 'holdings',
	start({services}) {
		services.provide(holdingsService, () => []);
		return () => undefined;
	},
});
