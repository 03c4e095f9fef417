import {
	configurationKey, configurationSchema, isNewer, type Configuration,
} from '#configuration';
import {checkInput} from '#core';
import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {
	startWatchTask, extractValues, type StoredValue, type WatchHandle,
} from '#store';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {storeService} from './store.js';

export type ConfigurationState = Readonly<{current: Configuration | undefined}>;
export type ConfigurationMessage = Readonly<{kind: 'observed'; configuration: Configuration}>;

/** The task that owns the configuration in force in this process. Its revision never decreases. */
export const configurationService = createServiceKey<TaskHandle<ConfigurationState, ConfigurationMessage>>('configuration');

/** The watch on the configuration in the store. */
export const configurationWatchService = createServiceKey<WatchHandle>('configuration-watch');

entryPlugins.register({
	kind: 'task',
	name: 'watch-configuration',
	start(context) {
		const log = context.log.withPrefix('configuration');
		const configuration = startTask<ConfigurationState, ConfigurationMessage, never>({
			name: 'configuration',
			initialState: {current: undefined},
			receive: (state, message) => ({
				state: isNewer(message.configuration, state.current) ? {current: message.configuration} : state, effects: [],
			}),
		}, {clock: context.clock, perform() {/* The task has no effects. */}});
		context.services.provide(configurationService, configuration);
		const watch = startWatchTask({
			store: context.services.use(storeService),
			clock: context.clock,
			random: context.random,
			prefix: configurationKey,
			onObserved(observation) {
				observe(extractValues(observation), context);
			},
			onFailure(reason, failures) {
				log.warn({reason, failures}, 'store is unavailable; keeping the current configuration');
			},
		});
		context.services.provide(configurationWatchService, watch);
		return () => {
			watch.stop();
			configuration.stop();
		};
	},
});

function observe(values: readonly StoredValue[], context: EntryContext): void {
	for (const {key, value} of values) {
		if (key !== configurationKey) {
			continue;
		}

		const checked = checkInput(configurationSchema, value, key);
		switch (checked.kind) {
			case 'invalid': {
				context.log.withPrefix('configuration').error({findings: checked.findings}, 'stored configuration is not valid; keeping the current one');
				break;
			}

			case 'valid': {
				context.services.use(configurationService).send({kind: 'observed', configuration: checked.value});
			}
		}
	}
}
