import {checkInput} from '#core';
import {startWatchTask, type Observation, type StoredValue} from '#store';
import {formatOwnershipPrefix, ownershipSchema, parseOwnershipKey} from '../jobs/ownership.js';
import {jobsService} from '../jobs/service.js';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {storeService} from './store.js';

entryPlugins.register({
	kind: 'task',
	name: 'job-cancellations',
	start(context) {
		const {services, clock, random, settings, log} = context;
		const watch = startWatchTask({
			store: services.use(storeService),
			clock,
			random,
			prefix: formatOwnershipPrefix(settings.zone, settings.entry),
			onObserved(observation) {
				for (const stored of listValues(observation)) {
					cancelIfRequested(stored, context);
				}
			},
			onFailure(reason, failures) {
				log.withPrefix('jobs').debug({reason, failures}, 'store is unavailable; cancellations through other entries are delayed');
			},
		});
		return () => {
			watch.stop();
		};
	},
});

function listValues(observation: Observation): readonly StoredValue[] {
	return observation.kind === 'all' ? observation.values : observation.events.flatMap(event => event.kind === 'put' ? [event.stored] : []);
}

function cancelIfRequested({key, value}: StoredValue, {services}: EntryContext): void {
	const checked = checkInput(ownershipSchema, value);
	if (checked.kind === 'valid' && checked.value.cancelRequested) {
		services.use(jobsService).find(parseOwnershipKey(key).job)?.send({kind: 'cancel'});
	}
}
