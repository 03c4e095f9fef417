import * as valibot from 'valibot';
import {
	type EntryId, type JobId, type ZoneName,
} from '#core';

/**
Marker of a job's owner, stored under `owners/<zone>/<entry>/<job>`.

It is written before the job's record and removed after the job has ended, so that the jobs of a dead entry are found without reading every record. An entry that receives a cancellation for another entry's job sets `cancelRequested` here; each owner watches its own markers.
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

/** Parses the key of a stored marker. */
export function parseOwnershipKey(key: string): OwnershipKey {
	const [, zone, owner, job] = key.split('/');
	return {zone: zone as ZoneName, owner: owner as EntryId, job: job as JobId};
}
