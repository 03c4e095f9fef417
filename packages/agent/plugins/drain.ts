import {createServiceKey} from '#kernel';
import {agentPlugins} from '../plugins.js';

/** What has to end before the agent may exit. */
export type DrainService = Readonly<{
	/** Adds a step of the drain; all steps begin at once when the agent is told to stop, and the agent exits after the last. */
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
