/** Job records with compare-and-swap. */
import type {JobId} from '#core';
import type {JobRecord} from '#recovery';
import type {WriteReply} from '#store';

export type JobStore = ReturnType<typeof createJobStore>;

export function createJobStore() {
	const values = new Map<JobId, Readonly<{record: JobRecord; version: number}>>();
	let lastVersion = 0;
	return {
		values,
		write(record: JobRecord, expectedVersion: number): WriteReply {
			const {jobId} = record.work;
			const current = values.get(jobId);
			if ((current?.version ?? 0) !== expectedVersion) {
				return {kind: 'conflict', current: current === undefined ? undefined : {key: jobId, value: current.record, version: current.version}};
			}

			values.set(jobId, {record, version: ++lastVersion});
			return {kind: 'written', version: lastVersion};
		},
	};
}
