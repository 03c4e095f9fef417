import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {agentPlugins} from '../plugins.js';
import {receiveSliceMessage, type SliceMessage, type SliceState} from '../slice.js';

/** Task that owns the part of the configuration and layout that this agent enforces. Other tasks subscribe to it. */
export const sliceService = createServiceKey<TaskHandle<SliceState, SliceMessage>>('slice');

agentPlugins.register({
	kind: 'task',
	name: 'slice',
	start({clock, services, log}) {
		const slice = startTask<SliceState, SliceMessage, never>(
			{name: 'slice', initialState: {current: undefined}, receive: receiveSliceMessage},
			{clock, perform() {/* The task has no effects. */}},
		);
		services.provide(sliceService, slice);
		let lastRevision = 0;
		const unsubscribe = slice.subscribe(({current}) => {
			if (current !== undefined && current.configurationRevision > lastRevision) {
				lastRevision = current.configurationRevision;
				log.withPrefix('slice').info({configurationRevision: lastRevision, layoutRevision: current.layoutRevision}, 'configuration is in force');
			}
		});
		return () => {
			unsubscribe();
			slice.stop();
		};
	},
});
