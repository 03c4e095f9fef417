import {checkInput, type EntryId} from '#core';
import {startTask} from '#kernel';
import {
	adoptJob, isTerminal, jobKey, jobRecordSchema, type JobRecord,
} from '#recovery';
import {
	createAdoptionState, receiveAdoptionMessage, type AdoptionEffect, type AdoptionMessage, type AdoptionState, type StoredOwnership,
} from '../jobs/adoption.js';
import {adoptionIntervalMilliseconds} from '../jobs/constants.js';
import {
	formatOwnershipPrefix, formatOwnershipKey, ownershipSchema, parseOwnershipKey,
} from '../jobs/ownership.js';
import {jobsService} from '../jobs/service.js';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {entriesService} from './entries.js';
import {entryLeaseService} from './entry-lease.js';
import {storeService} from './store.js';

entryPlugins.register({
	kind: 'task',
	name: 'job-adoption',
	start(context) {
		const {clock, random, settings} = context;
		let isStopped = false;
		const adoption = startTask<AdoptionState, AdoptionMessage, AdoptionEffect>({
			name: 'job-adoption', initialState: createAdoptionState(settings.entry), receive: receiveAdoptionMessage,
		}, {
			clock,
			perform(effect, send) {
				switch (effect.kind) {
					case 'search': {
						void search(context, send);
						break;
					}

					case 'adopt': {
						void adopt(effect.ownership, context);
						break;
					}

					case 'schedule-tick': {
						clock.schedule(adoptionIntervalMilliseconds * (0.75 + (random() / 2)), () => {
							if (!isStopped) {
								send({kind: 'tick', registered: listRegisteredEntries(context)});
							}
						});
					}
				}
			},
		});
		adoption.send({kind: 'tick', registered: undefined});
		return () => {
			isStopped = true;
			adoption.stop();
		};
	},
});

/** Lists the registered entries including this one; undefined without a valid lease, so that the entry adopts nothing. */
function listRegisteredEntries({services, settings}: EntryContext): ReadonlySet<EntryId> | undefined {
	const {registered} = services.use(entriesService).read();
	return registered === undefined || services.use(entryLeaseService).getValid() === undefined ? undefined : new Set([...registered, settings.entry]);
}

async function search({services, settings}: EntryContext, send: (message: AdoptionMessage) => void): Promise<void> {
	const reply = await services.use(storeService).list(formatOwnershipPrefix(settings.zone));
	if (reply.kind !== 'listed') {
		return;
	}

	const found = reply.values.flatMap(({key, value, version}): readonly StoredOwnership[] => {
		const checked = checkInput(ownershipSchema, value);
		return checked.kind === 'valid' ? [{...parseOwnershipKey(key), ...checked.value, version}] : [];
	});
	const driven = new Set(services.use(jobsService).list().map(driver => driver.read().record.work.jobId));
	send({kind: 'searched', found, driven});
}

/** Adopts a job, unless it has ended or another entry adopted it first. */
async function adopt(ownership: StoredOwnership, context: EntryContext): Promise<void> {
	const {services, settings: {entry: owner, zone}} = context;
	const store = services.use(storeService);
	const reply = await store.read(jobKey(ownership.job));
	const checked = reply.kind === 'found' ? checkInput(jobRecordSchema, reply.stored.value) : undefined;
	if (reply.kind !== 'found' || checked?.kind !== 'valid') {
		return;
	}

	const record = checked.value;
	const isStale = isTerminal(record) || record.owner !== ownership.owner;
	const isAdopted = !isStale && await writeAdoption({...record, cancelRequested: record.cancelRequested || ownership.cancelRequested}, reply.stored.version, context);
	if (isStale || (isAdopted && (ownership.owner !== owner || ownership.zone !== zone))) {
		await store.remove(formatOwnershipKey(ownership), ownership.version);
	}
}

/** Writes the ownership marker before the job record, so that the job is found again if this entry fails between the writes. */
async function writeAdoption(record: JobRecord, version: number, {services, settings: {entry: owner, zone}, log, counters}: EntryContext): Promise<boolean> {
	const store = services.use(storeService);
	const job = record.work.jobId;
	const marker = await store.write(formatOwnershipKey({zone, owner, job}), {cancelRequested: record.cancelRequested}, {expectedVersion: 0});
	if (marker.kind === 'unavailable') {
		return false;
	}

	const adopted = adoptJob(record, {owner, zone});
	const written = await store.write(jobKey(job), adopted, {expectedVersion: version});
	if (written.kind !== 'written') {
		return false;
	}

	log.withPrefix('jobs').info({job, from: record.owner, term: adopted.term}, 'adopted a job whose owner is no longer running');
	counters.countEvent('job-adopted');
	services.use(jobsService).startDriver(adopted, written.version);
	return true;
}
