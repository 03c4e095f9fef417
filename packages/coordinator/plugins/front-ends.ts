import {createServiceKey} from '#kernel';
import type {Milliseconds} from '#core';
import {coordinatorPlugins} from '../plugins.js';

/** A listener for callers or for the balancer, which a platform provides. */
export type FrontEnd = Readonly<{
	name: string;
	open(): Promise<void>;
	/** Serves open connections until they are idle or the time is over. */
	drain(timeout: Milliseconds): Promise<void>;
}>;

export type FrontEnds = Readonly<{
	add(front: FrontEnd): void;
	open(): Promise<void>;
	drain(timeout: Milliseconds): Promise<void>;
}>;

export const frontEndsService = createServiceKey<FrontEnds>('fronts');

coordinatorPlugins.register({
	kind: 'task',
	name: 'fronts',
	start({services}) {
		const fronts: FrontEnd[] = [];
		services.provide(frontEndsService, {
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
