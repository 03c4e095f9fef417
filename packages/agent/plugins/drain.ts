import {createServiceKey} from '#kernel';
import {agentPlugins} from '../plugins.js';

/** Steps that must finish before the agent exits. */
export type DrainService = Readonly<{
	/** Adds a drain step. All steps run concurrently when the agent stops, and it exits after the last one has finished. */
	add(step: () => Promise<void>): void;
	isDraining(): boolean;
	drain(): Promise<void>;
}>;

export const drainService = createServiceKey<DrainService>('drain');

agentPlugins.register({
	kind: 'task',
	name: 'drain',
	start({services}) {
		const steps: Array<() => Promise<void>> = [];
		let isDraining = false;
		services.provide(drainService, {
			add(step) {
				steps.push(step);
			},
			isDraining: () => isDraining,
			async drain() {
				isDraining = true;
				await Promise.all(steps.map(async step => step()));
			},
		});
		return () => undefined;
	},
});
