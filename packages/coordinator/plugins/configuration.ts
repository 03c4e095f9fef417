import {checkInput} from '#core';
import {schedulingConfigurationSchema} from '#jobs';
import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {startWatchTask, extractValues, type StoredValue} from '#store';
import {
	initialConfigurationState, receiveConfigurationMessage, type ConfigurationEffect, type ConfigurationMessage, type ConfigurationState,
} from '../configuration-state.js';
import {storeRetryMaximumMilliseconds, watchMilliseconds} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';
import {configurationPort, storePort} from '../ports.js';
import type {CoordinatorContext} from '../types.js';
import {selectZones} from '../zones-state.js';
import {zonesService} from './zones.js';

/** Task that owns the configuration in force in this process; its version never decreases. */
export const configurationService = createServiceKey<TaskHandle<ConfigurationState, ConfigurationMessage>>('configuration');

/** Fetches the configuration of another entry and hands it to the task above. */
export const configurationFetchService = createServiceKey<Readonly<{fetch(address: string): Promise<void>}>>('configuration-fetch');

coordinatorPlugins.register({
	kind: 'task',
	name: 'configuration',
	start(context) {
		const log = context.log.withPrefix('configuration');
		const configuration = startTask<ConfigurationState, ConfigurationMessage, ConfigurationEffect>({
			name: 'configuration',
			initialState: initialConfigurationState,
			receive: receiveConfigurationMessage,
		}, {
			clock: context.clock,
			perform(effect) {
				void performEffect(effect, context);
			},
		});
		context.services.provide(configurationService, configuration);
		const source = context.services.use(configurationPort);
		const zones = context.services.use(zonesService);
		// One watch serves the configuration and the closed zones, since each waiting watch counts as a call of the store.
		const watch = startWatchTask({
			store: context.services.use(storePort),
			clock: context.clock,
			random: context.random,
			prefix: source.prefix,
			wait: watchMilliseconds,
			maximumBackoff: storeRetryMaximumMilliseconds,
			onObserved(observation) {
				zones.send({kind: 'observed', observation: selectZones(observation, source.decodeKey), source: 'watch'});
				for (const stored of extractValues(observation)) {
					receiveStored(stored, context);
				}
			},
			onFailure(reason, failures) {
				context.counters.countRetry('configuration-watch');
				log.warn({reason, failures}, 'store is unavailable; keeping the current configuration and closed zones');
			},
		});
		return () => {
			watch.stop();
			configuration.stop();
		};
	},
});

async function performEffect(effect: ConfigurationEffect, {log, counters, services}: CoordinatorContext): Promise<void> {
	const configurationLog = log.withPrefix('configuration');
	switch (effect.kind) {
		case 'accepted': {
			const {kind, ...details} = effect;
			counters.setGauge('configuration-version', effect.version);
			configurationLog.info(details, 'configuration is in force');
			break;
		}

		case 'missed': {
			const {kind, ...details} = effect;
			counters.countEvent('configuration-missed');
			configurationLog.info(details, 'another entry has a newer configuration');
			break;
		}

		case 'shown': {
			const {kind, ...details} = effect;
			counters.countEvent('configuration-shown-by-entry');
			configurationLog.info(details, 'callers see a newer configuration through another entry');
			break;
		}

		case 'fetch': {
			try {
				await services.use(configurationFetchService).fetch(effect.address);
			} finally {
				services.use(configurationService).send({kind: 'fetch-ended'});
			}
		}
	}
}

function receiveStored({key, value}: StoredValue, {services, log, counters}: CoordinatorContext): void {
	const source = services.use(configurationPort);
	if (source.decodeKey(key).kind !== 'configuration') {
		return;
	}

	const decoded = source.decode(value);
	const checked = decoded.kind === 'valid' ? checkInput(schedulingConfigurationSchema, decoded.value, key) : decoded;
	switch (checked.kind) {
		case 'invalid': {
			counters.countRefusal('configuration-not-valid');
			log.withPrefix('configuration').error({findings: checked.findings}, 'stored configuration is not valid; keeping the current one');
			break;
		}

		case 'valid': {
			services.use(configurationService).send({kind: 'received', configuration: checked.value, source: 'store'});
		}
	}
}
