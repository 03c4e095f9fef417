import {createServiceKey} from '#kernel';
import type {Milliseconds} from '#core';
import {coordinatorPlugins} from '../plugins.js';

/** Listener for callers or for the load balancer; a platform provides it. */
export type FrontEnd = Readonly<{
	name: string;
	open(): Promise<void>;
	/** Serves open connections until they are idle or the timeout has passed. */
	drain(timeout: Milliseconds): Promise<void>;
}>;

export type FrontEnds = Readonly<{
	add(frontEnd: FrontEnd): void;
	open(): Promise<void>;
	drain(timeout: Milliseconds): Promise<void>;
}>;

export const frontEndsService = createServiceKey<FrontEnds>('front-ends');

coordinatorPlugins.register({
	kind: 'task',
	name: 'front-ends',
	start({services}) {
		const frontEnds: FrontEnd[] = [];
		services.provide(frontEndsService, {
			add(frontEnd) {
				frontEnds.push(frontEnd);
			},
			async open() {
				await Promise.all(frontEnds.map(async frontEnd => frontEnd.open()));
			},
			async drain(timeout) {
				await Promise.all(frontEnds.map(async frontEnd => frontEnd.drain(timeout)));
			},
		});
		return () => undefined;
	},
});
