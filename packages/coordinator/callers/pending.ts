import {checkInput} from '#core';
import {jobRecordSchema, type QueueName} from '#jobs';
import type {CallerAnswer} from '#protocol';
import {countPending} from '#scheduling';
import {entryCallTimeoutMilliseconds} from '../constants.js';
import {
	jobsPrefix, parseJobStoreKey, progressPrefix,
} from '../keys.js';
import {storePort} from '../ports.js';
import {directoryService, findLeader} from '../plugins/directory.js';
import {entryPeersService} from '../plugins/entry-peers.js';
import {storeUnavailableAnswer} from './unavailable.js';
import {schedulerService} from '../plugins/scheduler.js';
import type {CoordinatorContext} from '../types.js';

/** Counts a queue's jobs that have not started any task. Queries the scheduler or, while there is none, reads the store. */
export async function showPending(queue: QueueName, context: CoordinatorContext): Promise<CallerAnswer> {
	const {services} = context;
	const ownState = services.use(schedulerService).read();
	if (ownState?.isLoaded === true) {
		return {kind: 'pending', count: countPending(ownState).get(queue) ?? 0};
	}

	const leader = findLeader(services.use(directoryService).read());
	const peer = leader === undefined ? undefined : services.use(entryPeersService).find(leader.value.entry);
	const reply = await peer?.call('entry.count-pending', {queue}, entryCallTimeoutMilliseconds);
	return reply?.kind === 'answered' && reply.result.kind === 'counted' ? {kind: 'pending', count: reply.result.count} : countStoredPending(queue, context);
}

async function countStoredPending(queue: QueueName, {services}: CoordinatorContext): Promise<CallerAnswer> {
	const store = services.use(storePort);
	const [jobs, progress] = await Promise.all([store.list(jobsPrefix), store.list(progressPrefix)]);
	if (jobs.kind === 'unavailable' || progress.kind === 'unavailable') {
		return storeUnavailableAnswer;
	}

	const started = new Set(progress.values.map(({key}) => key.slice(progressPrefix.length)));
	const cancelled = new Set<string>(jobs.values.flatMap(({key}) => parseJobStoreKey(key).isCancellation ? [parseJobStoreKey(key).job] : []));
	const pending = jobs.values.filter(({key, value}) => {
		const {job, isCancellation} = parseJobStoreKey(key);
		const checked = isCancellation ? undefined : checkInput(jobRecordSchema, value, key);
		return checked?.kind === 'valid' && checked.value.kind === 'accepted' && checked.value.submission.queue.name === queue && !started.has(job) && !cancelled.has(job);
	});
	return {kind: 'pending', count: pending.length};
}
