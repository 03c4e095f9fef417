import {
	configurationKey, configurationSchema, isNewer, type Configuration,
} from '#configuration';
import {checkInput} from '#core';
import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {
	storeBackoffMaximumMilliseconds, storeBackoffMinimumMilliseconds, watchWaitMilliseconds, type StoredValue,
} from '#store';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {storeService} from './store.js';

export type ConfigurationState = Readonly<{current: Configuration | undefined}>;
export type ConfigurationMessage = Readonly<{kind: 'observed'; configuration: Configuration}>;

/** The task that owns the configuration in force in this process. */
export const configurationService = createServiceKey<TaskHandle<ConfigurationState, ConfigurationMessage>>('configuration');

entryPlugins.register({
	kind: 'task',
	name: 'watch-configuration',
	start(context) {
		const configuration = startTask<ConfigurationState, ConfigurationMessage, never>({
			name: 'configuration',
			initialState: {current: undefined},
			receive: (state, message) => ({
				state: isNewer(message.configuration, state.current) ? {current: message.configuration} : state, effects: [],
			}),
		}, {clock: context.clock, perform() {/* The task only keeps state. */}});
		context.services.provide(configurationService, configuration);
		let isStopped = false;
		void (async () => {
			let revision = 0;
			while (!isStopped) {
				revision = await observeChanges(context, revision);
			}
		})();

		return () => {
			isStopped = true;
			configuration.stop();
		};
	},
});

/** Waits for the next change of the configuration and returns the store revision to continue from. */
async function observeChanges(context: EntryContext, revision: number): Promise<number> {
	const reply = revision === 0
		? await context.services.use(storeService).list(configurationKey)
		: await context.services.use(storeService).watch(configurationKey, revision, watchWaitMilliseconds);
	switch (reply.kind) {
		case 'listed': {
			observeAll(context, reply.values);
			return reply.revision === 0 ? waitAndRetry(context, 0) : reply.revision;
		}

		case 'events': {
			observeAll(context, reply.events.flatMap(event => event.kind === 'put' ? [event.stored] : []));
			return reply.revision;
		}

		case 'compacted': {
			return 0;
		}

		case 'unavailable': {
			context.log.part('configuration').warn({reason: reply.message}, 'store is unavailable; watching again after a delay');
			return waitAndRetry(context, revision);
		}
	}
}

async function waitAndRetry({clock, random}: EntryContext, revision: number): Promise<number> {
	const span = storeBackoffMaximumMilliseconds - storeBackoffMinimumMilliseconds;
	return new Promise(resolve => {
		clock.schedule(storeBackoffMinimumMilliseconds + (random() * span), () => {
			resolve(revision);
		});
	});
}

function observeAll(context: EntryContext, values: readonly StoredValue[]): void {
	for (const {key, value} of values) {
		const checked = checkInput(configurationSchema, value, key);
		if (checked.kind === 'invalid') {
			context.log.part('configuration').error({findings: checked.findings}, 'stored configuration is not valid; keeping the present one');
			continue;
		}

		context.services.use(configurationService).send({kind: 'observed', configuration: checked.value});
	}
}
