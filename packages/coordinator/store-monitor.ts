/** Notices when the store stops answering this entry, and when it answers again. */
import type {Clock, Counters, Logger} from '#kernel';
import type {TransactionalStore} from '#store';

/** An outage counts as over this long after the last failure, so that the store is tried again. */
const suspicionMilliseconds = 1200;

export type StoreMonitor = Readonly<{
	store: TransactionalStore;
	/** Whether the last calls failed; a call now would most likely fail too. */
	isFailing(): boolean;
}>;

type Reply = Readonly<{kind: string}>;

/** Wraps a client of the store so that every answer is noted. */
export function monitorStore(store: TransactionalStore, {clock, counters, log}: Readonly<{clock: Clock; counters: Counters; log: Logger}>): StoreMonitor {
	let failures = 0;
	let lastFailureAt = -Infinity;
	const note = (name: string, reply: Reply, startedAt: number) => {
		const present = clock.monotonic();
		counters.countEvent(`store-${name}-${reply.kind}`);
		if (reply.kind === 'unavailable') {
			failures++;
			lastFailureAt = present;
			if (failures === 1) {
				log.warn({call: name, reply}, 'store lost');
			}

			return;
		}

		counters.recordLatency(`store-${name}`, present - startedAt);
		if (failures > 0) {
			log.info({call: name, failures}, 'store regained');
			failures = 0;
		}
	};

	type Call<Parameters extends readonly unknown[], Answer> = (...parameters: Parameters) => Promise<Answer>;
	const watched = <Parameters extends readonly unknown[], Answer extends Reply>(name: string, call: Call<Parameters, Answer>): Call<Parameters, Answer> => async (...parameters) => {
		const startedAt = clock.monotonic();
		const reply = await call(...parameters);
		note(name, reply, startedAt);
		return reply;
	};

	return {
		store: {
			read: watched('read', store.read),
			list: watched('list', store.list),
			write: watched('write', store.write),
			remove: watched('remove', store.remove),
			watch: watched('watch', store.watch),
			commit: watched('commit', store.commit),
			grantLease: watched('grant-lease', store.grantLease),
			renewLease: watched('renew-lease', store.renewLease),
			revokeLease: watched('revoke-lease', store.revokeLease),
			close: store.close,
		},
		isFailing: () => failures > 0 && clock.monotonic() - lastFailureAt < suspicionMilliseconds,
	};
}
