import {createServiceKey} from '#kernel';
import type {Milliseconds} from '#core';
import {coordinatorPlugins} from '../plugins.js';

/** A listener for callers or for the balancer, which a platform provides. */
export type Front = Readonly<{
	name: string;
	open(): Promise<void>;
	/** Serves open connections until they are idle or the time is over. */
	drain(timeout: Milliseconds): Promise<void>;
}>;

export type Fronts = Readonly<{
	add(front: Front): void;
	open(): Promise<void>;
	drain(timeout: Milliseconds): Promise<void>;
}>;

export const frontsService = createServiceKey<Fronts>('fronts');

coordinatorPlugins.register({
	kind: 'task',
	name: 'fronts',
	start({services}) {
		const fronts: Front[] = [];
		services.provide(frontsService, {
			add(front) {
				fronts.push(front);
			},
			async open() {
				await Promise.all(fronts.map(async front => front.open()));
			},
			async drain(timeout) {
				await Promise.all(fronts.map(async front => front.drain(timeout)));
			},
		});
		return () => undefined;
	},
});
