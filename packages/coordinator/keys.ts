/** Keys in the store and the schemas of their values. */
import * as valibot from 'valibot';
import {
	addressSchema, countSchema, entryIdSchema, workerIdSchema,
} from '#core';
import type {JobKey} from '#jobs';

export const clusterPrefix = 'cluster/';
/** Held under the lease of the entry that schedules. */
export const leaderKey = 'cluster/leader';
/** Epoch of the latest term, which only increases; never removed. */
export const epochKey = 'cluster/epoch';
/** Workers that a scheduler has used; the key is under none of the watched prefixes. */
export const workersKey = 'workers';
export const jobsPrefix = 'jobs/';
export const progressPrefix = 'progress/';

const cancellationSuffix = '/cancellation';

export const leaderRecordSchema = valibot.object({
	entry: entryIdSchema, epoch: countSchema, address: addressSchema, lease: valibot.string(),
});
export type LeaderRecord = Readonly<valibot.InferOutput<typeof leaderRecordSchema>>;

export const epochRecordSchema = valibot.object({epoch: countSchema});

export const workersRecordSchema = valibot.object({
	workers: valibot.pipe(valibot.array(valibot.object({agent: valibot.string(), worker: workerIdSchema})), valibot.readonly()),
});

export function jobStoreKey(job: JobKey): string {
	return jobsPrefix + job;
}

export function cancellationStoreKey(job: JobKey): string {
	return jobsPrefix + job + cancellationSuffix;
}

export function progressStoreKey(job: JobKey): string {
	return progressPrefix + job;
}

/** Returns the job of a key under `jobsPrefix` and whether the key holds its cancellation. */
export function parseJobStoreKey(key: string): Readonly<{job: JobKey; isCancellation: boolean}> {
	const name = key.slice(jobsPrefix.length);
	const isCancellation = name.endsWith(cancellationSuffix);
	return {job: (isCancellation ? name.slice(0, -cancellationSuffix.length) : name) as JobKey, isCancellation};
}
