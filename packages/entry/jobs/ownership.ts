import * as valibot from 'valibot';
import {
	type EntryId, type JobId, type ZoneName,
} from '#core';

/**
Marks a job as owned by an entry, under `owners/<zone>/<entry>/<job>`.

It is written before the job's record and removed after the job has ended, so the jobs of an entry that died are found without reading the records of all jobs. Another entry that is asked to cancel the job writes its wish here; the owner watches its own markers.
*/
export const ownershipSchema = valibot.object({cancelRequested: valibot.boolean()});
export type Ownership = Readonly<valibot.InferOutput<typeof ownershipSchema>>;

const ownersPrefix = 'owners/';

export function formatOwnershipPrefix(zone: ZoneName, entry?: EntryId): string {
	return entry === undefined ? `${ownersPrefix}${zone}/` : `${ownersPrefix}${zone}/${entry}/`;
}

export type OwnershipKey = Readonly<{zone: ZoneName; owner: EntryId; job: JobId}>;

export function formatOwnershipKey({zone, owner, job}: OwnershipKey): string {
	return formatOwnershipPrefix(zone, owner) + job;
}

/** Reads the parts of a marker's key. */
export function parseOwnershipKey(key: string): OwnershipKey {
	const [, zone, owner, job] = key.split('/');
	return {zone: zone as ZoneName, owner: owner as EntryId, job: job as JobId};
}
