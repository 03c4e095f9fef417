import * as valibot from 'valibot';
import {checkInput} from '#core';
import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {registeredEntriesPrefix, registeredEntrySchema, type RegisteredEntry} from '#protocol';
import {
	computeBackoff, startWatchTask, type Observation, type StoredValue,
} from '#store';
import {storeRetryMaximumMilliseconds, watchMilliseconds} from '../constants.js';
import {
	clusterPrefix, epochKey, epochRecordSchema, leaderKey, leaderRecordSchema, type LeaderRecord,
} from '../keys.js';
import type {Versioned} from '../leadership.js';
import {peerAddressOf} from '../peer-address.js';
import {coordinatorPlugins} from '../plugins.js';
import {storePort} from '../ports.js';
import type {CoordinatorContext} from '../types.js';
import {agentsService} from './agents.js';
import {leadershipService} from './leadership.js';
import {leaseService} from './lease.js';

/** Values in the store under the prefix of the cluster, by key. */
export type DirectoryState = Readonly<{values: ReadonlyMap<string, StoredValue>}>;

/** Task that owns this entry's view of the cluster. */
export const directoryService = createServiceKey<TaskHandle<DirectoryState, Observation>>('directory');

/** Registered entries; records that are not valid are skipped. */
export function listEntries({values}: DirectoryState): readonly RegisteredEntry[] {
	return [...values.values()].flatMap(({key, value}) => {
		const record = key.startsWith(registeredEntriesPrefix) ? valibot.safeParse(registeredEntrySchema, value) : undefined;
		return record?.success === true ? [record.output] : [];
	});
}

/** The entry that schedules, according to the store. */
export function findLeader({values}: DirectoryState): Versioned<LeaderRecord> | undefined {
	const stored = values.get(leaderKey);
	const checked = stored === undefined ? undefined : checkInput(leaderRecordSchema, stored.value, leaderKey);
	return stored !== undefined && checked?.kind === 'valid' ? {value: checked.value, version: stored.version} : undefined;
}

function findEpoch({values}: DirectoryState): Versioned<number> | undefined {
	const stored = values.get(epochKey);
	const checked = stored === undefined ? undefined : checkInput(epochRecordSchema, stored.value, epochKey);
	return stored !== undefined && checked?.kind === 'valid' ? {value: checked.value.epoch, version: stored.version} : undefined;
}

coordinatorPlugins.register({
	kind: 'task',
	name: 'directory',
	start(context) {
		const {
			clock, random, services, settings, log,
		} = context;
		/** Version of the leader record that was last announced to the attached agents. */
		let announcedVersion = 0;
		const directory = startTask<DirectoryState, Observation, 'changed'>({
			name: 'directory',
			initialState: {values: new Map()},
			receive: (state, observation) => ({state: {values: applyObservation(state.values, observation)}, effects: ['changed']}),
		}, {
			clock,
			perform() {
				const state = directory.read();
				const leader = findLeader(state);
				services.use(leadershipService).send({kind: 'observed', leader, epoch: findEpoch(state)});
				if (leader !== undefined && leader.version !== announcedVersion && leader.value.entry !== settings.entry) {
					announcedVersion = leader.version;
					services.use(agentsService).announceScheduler({address: leader.value.address, epoch: leader.value.epoch});
				}
			},
		});
		services.provide(directoryService, directory);
		const watch = startWatchTask({
			store: services.use(storePort),
			clock,
			random,
			prefix: clusterPrefix,
			wait: watchMilliseconds,
			maximumBackoff: storeRetryMaximumMilliseconds,
			onObserved(observation) {
				directory.send(observation);
			},
			onFailure(reason, failures) {
				context.counters.countRetry('directory-watch');
				log.withPrefix('directory').warn({reason, failures}, 'store is unavailable; keeping the known entries');
			},
		});
		const stopRegistration = startRegistration(context);
		return () => {
			stopRegistration();
			watch.stop();
			directory.stop();
		};
	},
});

export function applyObservation(values: ReadonlyMap<string, StoredValue>, observation: Observation): ReadonlyMap<string, StoredValue> {
	switch (observation.kind) {
		case 'all': {
			return new Map(observation.values.map(stored => [stored.key, stored]));
		}

		case 'changes': {
			const next = new Map(values);
			for (const event of observation.events) {
				switch (event.kind) {
					case 'put': {
						next.set(event.stored.key, event.stored);
						break;
					}

					case 'deleted': {
						next.delete(event.key);
					}
				}
			}

			return next;
		}
	}
}

/** Registers this entry under each new lease, replacing the record that an earlier process of the same name left. Whether the lease still exists is for the store to say: one that lapsed by the local clock may be renewed. */
function startRegistration(context: CoordinatorContext): () => void {
	const {services, clock, random, settings, log} = context;
	const key = registeredEntriesPrefix + settings.entry;
	const record: RegisteredEntry = {entry: settings.entry, address: peerAddressOf(settings), zone: settings.zone};
	let isStopped = false;
	const register = async (failures: number) => {
		const held = services.use(leaseService).getLatest();
		if (isStopped || held === undefined) {
			return;
		}

		const store = services.use(storePort);
		const current = await store.read(key);
		const version = current.kind === 'found' ? current.stored.version : 0;
		const reply = current.kind === 'unavailable' ? current : await store.write(key, record, {expectedVersion: version, lease: held.lease});
		if (reply.kind === 'written') {
			log.withPrefix('directory').info({key}, 'registered');
			return;
		}

		// A lease that expired meanwhile is replaced, which triggers the next registration.
		if (reply.kind !== 'lease-unknown') {
			clock.schedule(computeBackoff(failures + 1, random, 0, storeRetryMaximumMilliseconds), () => {
				void register(failures + 1);
			});
		}
	};

	const cancel = services.use(leaseService).onChanged(lease => {
		if (lease !== undefined) {
			void register(0);
		}
	});
	return () => {
		isStopped = true;
		cancel();
	};
}
