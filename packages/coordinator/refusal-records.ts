/** Removes the records of refused and withdrawn jobs once no copy of a submission can run into them any more. */
import type {MonotonicTime} from '#core';
import type {JobRecord} from '#jobs';
import type {CommitReply, StoredValue} from '#store';
import {maximumRefusalRemovals, refusalRetentionMilliseconds} from './constants.js';
import {leaderKey, parseJobStoreKey} from './keys.js';
import {storePort} from './ports.js';
import type {Term} from './plugins/scheduler.js';
import type {CoordinatorContext} from './types.js';

export type RefusalRecords = Readonly<{
	/** Takes note of records as the watch observed them. */
	observe(values: readonly StoredValue[]): void;
	/** Removes a batch of records whose retention is over. */
	prune(): void;
}>;

type RefusalRecord = Readonly<{version: number; observedAt: MonotonicTime}>;

/** The retention counts from the first observation in a term, since the clocks of entries differ. */
export function createRefusalRecords(term: Pick<Term, 'leaderVersion' | 'epoch' | 'isOver'>, {services, clock, counters, log}: CoordinatorContext): RefusalRecords {
	const records = new Map<string, RefusalRecord>();
	let isRemoving = false;

	const listExpired = () => {
		const expired: Array<Readonly<{key: string; version: number}>> = [];
		// The map is in the order of observation.
		for (const [key, {version, observedAt}] of records) {
			if (expired.length === maximumRefusalRemovals || clock.monotonic() - observedAt <= refusalRetentionMilliseconds) {
				break;
			}

			expired.push({key, version});
		}

		return expired;
	};

	const handleReply = (expired: ReturnType<typeof listExpired>, reply: CommitReply) => {
		switch (reply.kind) {
			case 'committed': {
				for (const {key, version} of expired) {
					forget(key, version);
				}

				log.withPrefix('jobs').info({records: expired.length, left: records.size, epoch: term.epoch}, 'removed the records of refused jobs');
				break;
			}

			// Records that were replaced or removed meanwhile are left out of the next transaction.
			case 'conflict': {
				for (const {key, version} of expired) {
					if (reply.current.find(stored => stored.key === key)?.version !== version) {
						forget(key, version);
					}
				}

				break;
			}

			case 'lease-unknown':
			case 'unavailable': {
				counters.countRetry('record-removal');
			}
		}
	};

	const forget = (key: string, version: number) => {
		if (records.get(key)?.version === version) {
			records.delete(key);
		}
	};

	const remove = async (expired: ReturnType<typeof listExpired>) => {
		isRemoving = true;
		const reply = await services.use(storePort).commit({
			conditions: [{key: leaderKey, expectedVersion: term.leaderVersion}, ...expired.map(({key, version}) => ({key, expectedVersion: version}))],
			puts: [],
			removals: expired.map(({key}) => key),
		});
		isRemoving = false;
		if (!term.isOver()) {
			handleReply(expired, reply);
		}
	};

	return {
		observe(values) {
			for (const {key, value, version} of values) {
				if (parseJobStoreKey(key).isCancellation || records.get(key)?.version === version) {
					continue;
				}

				records.delete(key);
				if (isRefusal(value)) {
					records.set(key, {version, observedAt: clock.monotonic()});
				}
			}
		},
		prune() {
			const expired = isRemoving ? [] : listExpired();
			if (expired.length > 0) {
				void remove(expired);
			}
		},
	};
}

/** Whether a value is the record of a job that was not accepted. */
function isRefusal(value: unknown): boolean {
	const kind = (value as JobRecord | undefined)?.kind;
	return kind === 'refused' || kind === 'withdrawn';
}
