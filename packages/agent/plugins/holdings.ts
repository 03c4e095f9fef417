import {createServiceKey} from '#kernel';
import type {Holding} from '#protocol';
import {agentPlugins} from '../plugins.js';

/** Lists the accelerators that gang members hold on the worker. A plug-in that keeps reservations provides it anew. */
export const holdingsService = createServiceKey<() => readonly Holding[]>('holdings');

agentPlugins.register({
	kind: 'task',
	name: 'holdings',
	start({services}) {
		services.provide(holdingsService, () => []);
		return () => undefined;
	},
});
