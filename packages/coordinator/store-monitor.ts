/** Detects when the store stops answering this entry and when it answers again. */
import type {Milliseconds} from '#core';
import type {Clock, Counters, Logger} from '#kernel';
import type {TransactionalStore} from '#store';

/** The store counts as failing for this long after the last failure; then it is tried again. */
const failureWindowMilliseconds = 1200;

/** Failed calls in a row that count as an outage. */
const failuresOfOutage = 3;

export type StoreMonitor = Readonly<{
	store: TransactionalStore;
	/** Whether the latest calls failed, so that another one would most likely fail too. */
	isFailing(): boolean;
	/** Time since the first of the calls that failed without a successful one between them; 0 while fewer than three failed, since single answers are lost now and then. */
	measureOutage(): Milliseconds;
}>;

type Reply = Readonly<{kind: string}>;

/** Wraps a store client and records the outcome and latency of each call. */
export function monitorStore(store: TransactionalStore, {clock, counters, log}: Readonly<{clock: Clock; counters: Counters; log: Logger}>): StoreMonitor {
	let failures = 0;
	let firstFailureAt = -Infinity;
	let lastFailureAt = -Infinity;
	const recordReply = (name: string, reply: Reply, startedAt: number) => {
		const now = clock.monotonic();
		counters.countEvent(`store-${name}-${reply.kind}`);
		if (reply.kind === 'unavailable') {
			failures++;
			lastFailureAt = now;
			if (failures === 1) {
				firstFailureAt = now;
				log.warn({call: name, reply}, 'store lost');
			}

			return;
		}

		counters.recordLatency(`store-${name}`, now - startedAt);
		if (failures > 0) {
			log.info({call: name, failures}, 'store regained');
			failures = 0;
		}
	};

	type Call<Parameters extends readonly unknown[], Answer> = (...parameters: Parameters) => Promise<Answer>;
	const monitored = <Parameters extends readonly unknown[], Answer extends Reply>(name: string, call: Call<Parameters, Answer>): Call<Parameters, Answer> => async (...parameters) => {
		const startedAt = clock.monotonic();
		const reply = await call(...parameters);
		recordReply(name, reply, startedAt);
		return reply;
	};

	return {
		store: {
			read: monitored('read', store.read),
			list: monitored('list', store.list),
			write: monitored('write', store.write),
			remove: monitored('remove', store.remove),
			watch: monitored('watch', store.watch),
			commit: monitored('commit', store.commit),
			grantLease: monitored('grant-lease', store.grantLease),
			renewLease: monitored('renew-lease', store.renewLease),
			revokeLease: monitored('revoke-lease', store.revokeLease),
			close: store.close,
		},
		isFailing: () => failures > 0 && clock.monotonic() - lastFailureAt < failureWindowMilliseconds,
		measureOutage: () => failures >= failuresOfOutage ? clock.monotonic() - firstFailureAt : 0,
	};
}
