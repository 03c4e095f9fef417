import {checkInput} from '#core';
import {isNewerConfiguration, schedulingConfigurationSchema, type SchedulingConfiguration} from '#jobs';
import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {startWatchTask, extractValues, type StoredValue} from '#store';
import {storeRetryMaximumMilliseconds, watchMilliseconds} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';
import {configurationPort, storePort} from '../ports.js';
import type {CoordinatorContext} from '../types.js';

export type ConfigurationState = Readonly<{current: SchedulingConfiguration | undefined}>;
export type ConfigurationMessage = Readonly<{kind: 'received'; configuration: SchedulingConfiguration; source: 'store' | 'entry'}>;

/** Task that owns the configuration in force in this process; its version never decreases. */
export const configurationService = createServiceKey<TaskHandle<ConfigurationState, ConfigurationMessage>>('configuration');

type Accepted = Readonly<{kind: 'accepted'; version: number; earlier: number | undefined; source: string}>;

coordinatorPlugins.register({
	kind: 'task',
	name: 'configuration',
	start(context) {
		const log = context.log.withPrefix('configuration');
		const configuration = startTask<ConfigurationState, ConfigurationMessage, Accepted>({
			name: 'configuration',
			initialState: {current: undefined},
			receive: ({current}, {configuration: candidate, source}) => isNewerConfiguration(candidate, current)
				? {
					state: {current: candidate}, effects: [{
						kind: 'accepted', version: candidate.version, earlier: current?.version, source,
					}],
				}
				: {state: {current}, effects: []},
		}, {
			clock: context.clock,
			perform({version, earlier, source}) {
				context.counters.setGauge('configuration-version', version);
				log.info({version, earlier, source}, 'configuration is in force');
			},
		});
		context.services.provide(configurationService, configuration);
		const watch = startWatchTask({
			store: context.services.use(storePort),
			clock: context.clock,
			random: context.random,
			prefix: context.services.use(configurationPort).key,
			wait: watchMilliseconds,
			maximumBackoff: storeRetryMaximumMilliseconds,
			onObserved(observation) {
				for (const stored of extractValues(observation)) {
					receiveStored(stored, context);
				}
			},
			onFailure(reason, failures) {
				context.counters.countRetry('configuration-watch');
				log.warn({reason, failures}, 'store is unavailable; keeping the current configuration');
			},
		});
		return () => {
			watch.stop();
			configuration.stop();
		};
	},
});

function receiveStored({key, value}: StoredValue, {services, log, counters}: CoordinatorContext): void {
	const source = services.use(configurationPort);
	if (key !== source.key) {
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
