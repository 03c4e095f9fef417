import {checkInput, type EntryId} from '#core';
import {startTask} from '#kernel';
import {
	adoptJob, isTerminal, jobKey, jobRecordSchema, type JobRecord,
} from '#recovery';
import {
	createAdoptionState, receiveAdoptionMessage, type AdoptionEffect, type AdoptionMessage, type AdoptionState, type FoundOwnership,
} from '../jobs/adoption.js';
import {adoptionIntervalMilliseconds} from '../jobs/constants.js';
import {
	ownersPrefixOf, ownershipKey, ownershipSchema, parseOwnershipKey,
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
								send({kind: 'tick', registered: readRegistered(context)});
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

/** Without a valid lease of its own an entry adopts nothing. */
function readRegistered({services, settings}: EntryContext): ReadonlySet<EntryId> | undefined {
	const {registered} = services.use(entriesService).read();
	return registered === undefined || services.use(entryLeaseService).getValid() === undefined ? undefined : new Set([...registered, settings.entry]);
}

async function search({services, settings}: EntryContext, send: (message: AdoptionMessage) => void): Promise<void> {
	const reply = await services.use(storeService).list(ownersPrefixOf(settings.zone));
	if (reply.kind !== 'listed') {
		return;
	}

	const found = reply.values.flatMap(({key, value, version}): readonly FoundOwnership[] => {
		const checked = checkInput(ownershipSchema, value);
		return checked.kind === 'valid' ? [{...parseOwnershipKey(key), ...checked.value, version}] : [];
	});
	const driven = new Set(services.use(jobsService).list().map(driver => driver.read().record.work.jobId));
	send({kind: 'searched', found, driven});
}

/** Takes a job over, unless it has ended or another entry was quicker. */
async function adopt(ownership: FoundOwnership, context: EntryContext): Promise<void> {
	const {services, settings: {entry: owner, zone}} = context;
	const store = services.use(storeService);
	const reply = await store.read(jobKey(ownership.job));
	const checked = reply.kind === 'found' ? checkInput(jobRecordSchema, reply.stored.value) : undefined;
	if (reply.kind !== 'found' || checked?.kind !== 'valid') {
		return;
	}

	const record = checked.value;
	const isStale = isTerminal(record) || record.owner !== ownership.owner;
	const isTaken = !isStale && await takeOver({...record, cancelRequested: record.cancelRequested || ownership.cancelRequested}, reply.stored.version, context);
	if (isStale || (isTaken && (ownership.owner !== owner || ownership.zone !== zone))) {
		await store.remove(ownershipKey(ownership), ownership.version);
	}
}

/** The marker is written first, so that the job is found again if this entry dies before its next step. */
async function takeOver(record: JobRecord, version: number, {services, settings: {entry: owner, zone}, log, counters}: EntryContext): Promise<boolean> {
	const store = services.use(storeService);
	const job = record.work.jobId;
	const marked = await store.write(ownershipKey({zone, owner, job}), {cancelRequested: record.cancelRequested}, {expectedVersion: 0});
	if (marked.kind === 'unavailable') {
		return false;
	}

	const adopted = adoptJob(record, {owner, zone});
	const written = await store.write(jobKey(job), adopted, {expectedVersion: version});
	if (written.kind !== 'written') {
		return false;
	}

	log.withPrefix('jobs').info({job, from: record.owner, term: adopted.term}, 'adopted a job whose owner is gone');
	counters.countEvent('job-adopted');
	services.use(jobsService).open(adopted, written.version);
	return true;
}
