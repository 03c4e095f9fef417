/** A store in virtual time whose writes may be slow, refused, or carried out without an answer. */
import {sleep, type Clock} from '#kernel';
import type {
	CommitReply, LeaseReply, StoredValue, StoreFailure, Transaction, TransactionalStore, WatchEvent, WatchReply,
} from '#store';

/** What happens to a write. Its conditions are checked when it is carried out. */
export type WriteFate =
	| Readonly<{kind: 'answered'; appliedAfter: number; answeredAfter: number}>
	| Readonly<{kind: 'refused'}>
	| Readonly<{kind: 'unanswered'; appliedAfter: number}>
	| Readonly<{kind: 'never-applied'}>;

/** How one process reaches the store. */
export type StoreAccess = Readonly<{
	latency: number;
	timeout: number;
	isReachable(): boolean;
	/** Hands an answer over; it may wait, or be dropped, while the process does not run. */
	deliver<Reply>(reply: Reply): Promise<Reply>;
}>;

export type UnreliableStore = Readonly<{
	store: TransactionalStore;
	/** Creates the client of another process. */
	connect(access: StoreAccess): TransactionalStore;
	/** Current value of a key. */
	read(key: string): unknown;
	/** Writes a value as another process does. */
	put(key: string, value: unknown): void;
	countWrites(): number;
}>;

type Lease = Readonly<{timeToLive: number; cancel(): void}>;

/** Timeout of a call, after which the caller knows no answer. */
const callTimeoutMilliseconds = 900;

const directAccess: StoreAccess = {
	latency: 0, timeout: callTimeoutMilliseconds, isReachable: () => true, deliver: async reply => reply,
};

const noAnswer: StoreFailure = {kind: 'unavailable', effect: 'perhaps-applied', message: 'timeout'};

/** Creates a store; `chooseFate` decides what happens to each write. */
export function createUnreliableStore(clock: Clock, chooseFate: (transaction: Transaction) => WriteFate): UnreliableStore {
	const items = new Map<string, StoredValue>();
	const leases = new Map<string, Lease>();
	const leaseOfKey = new Map<string, string>();
	const history: Array<Readonly<{revision: number; key: string; event: WatchEvent}>> = [];
	const watchers = new Set<() => void>();
	let revision = 0;
	let leaseCount = 0;
	let writes = 0;
	const change = (puts: Transaction['puts'], removals: readonly string[]) => {
		revision++;
		for (const {key, value, lease} of puts) {
			const stored = {key, value, version: revision};
			items.set(key, stored);
			leaseOfKey.delete(key);
			if (lease !== undefined) {
				leaseOfKey.set(key, lease);
			}

			history.push({revision, key, event: {kind: 'put', stored}});
		}

		for (const key of removals) {
			items.delete(key);
			history.push({revision, key, event: {kind: 'deleted', key}});
		}

		for (const wake of watchers) {
			wake();
		}
	};

	const apply = ({conditions, puts, removals}: Transaction): CommitReply => {
		if (conditions.some(({key, expectedVersion}) => (items.get(key)?.version ?? 0) !== expectedVersion)) {
			return {kind: 'conflict', current: conditions.flatMap(({key}) => items.get(key) ?? [])};
		}

		if (puts.some(({lease}) => lease !== undefined && !leases.has(lease))) {
			return {kind: 'lease-unknown'};
		}

		change(puts, removals);
		return {kind: 'committed', version: revision};
	};

	const endLease = (lease: string) => {
		leases.get(lease)?.cancel();
		leases.delete(lease);
		const keys = [...leaseOfKey].flatMap(([key, holder]) => holder === lease && items.has(key) ? [key] : []);
		if (keys.length > 0) {
			change([], keys);
		}
	};

	const extendLease = (lease: string, timeToLive: number): LeaseReply => {
		leases.get(lease)?.cancel();
		leases.set(lease, {
			timeToLive, cancel: clock.schedule(timeToLive, () => {
				endLease(lease);
			}),
		});
		return {kind: 'granted', lease};
	};

	/** Waits for changes under the prefix, like a long poll. */
	const waitForChanges = async (prefix: string, after: number, wait: number): Promise<WatchReply> => {
		const list = () => history.filter(entry => entry.revision > after && entry.key.startsWith(prefix)).map(({event}) => event);
		if (list().length === 0) {
			await new Promise<void>(resolve => {
				const wake = () => {
					if (list().length > 0) {
						watchers.delete(wake);
						resolve();
					}
				};

				watchers.add(wake);
				clock.schedule(wait, () => {
					watchers.delete(wake);
					resolve();
				});
			});
		}

		return {kind: 'events', revision, events: list()};
	};

	const connect = ({isReachable, deliver, latency, timeout}: StoreAccess): TransactionalStore => {
		/** A call other than a write gets its answer unless the process is cut off at its beginning or its end. */
		const call = async <Reply>(carryOut: () => Promise<Reply> | Reply): Promise<Reply | StoreFailure> => {
			if (isReachable()) {
				await wait(latency);
				const reply = await carryOut();
				await wait(latency);
				if (isReachable()) {
					return deliver(reply);
				}
			}

			await sleep(clock, timeout);
			return deliver(noAnswer);
		};

		const wait = async (duration: number) => duration === 0 ? undefined : sleep(clock, duration);

		const commit = async (transaction: Transaction): Promise<CommitReply> => {
			writes++;
			const fate: WriteFate = isReachable() ? chooseFate(transaction) : {kind: 'never-applied'};
			switch (fate.kind) {
				case 'answered': {
					await sleep(clock, fate.appliedAfter);
					const reply = apply(transaction);
					await sleep(clock, fate.answeredAfter);
					if (isReachable()) {
						return deliver(reply);
					}

					break;
				}

				case 'refused': {
					await wait(latency);
					return deliver({kind: 'unavailable', effect: 'not-applied', message: 'status 503'});
				}

				case 'unanswered': {
					clock.schedule(fate.appliedAfter, () => {
						apply(transaction);
					});
					break;
				}

				case 'never-applied': {
					break;
				}
			}

			await sleep(clock, timeout);
			return deliver(noAnswer);
		};

		return {
			commit,
			async read(key) {
				return call(() => {
					const stored = items.get(key);
					return stored === undefined ? {kind: 'absent'} : {kind: 'found', stored};
				});
			},
			async list(prefix) {
				return call(() => ({kind: 'listed', revision, values: [...items.values()].filter(({key}) => key.startsWith(prefix))}));
			},
			async write(key, value, {expectedVersion, lease}) {
				const reply = await commit({conditions: [{key, expectedVersion}], puts: [{key, value, ...(lease === undefined ? {} : {lease})}], removals: []});
				switch (reply.kind) {
					case 'committed': {
						return {kind: 'written', version: reply.version};
					}

					case 'conflict': {
						return {kind: 'conflict', current: reply.current[0]};
					}

					case 'lease-unknown':
					case 'unavailable': {
						return reply;
					}
				}
			},
			remove: async () => noAnswer,
			watch: async (prefix, after, duration) => call(async () => waitForChanges(prefix, after, duration)),
			grantLease: async timeToLive => call(() => extendLease(String(++leaseCount), timeToLive)),
			renewLease: async lease => call(() => {
				const known = leases.get(lease);
				return known === undefined ? {kind: 'lease-unknown'} : extendLease(lease, known.timeToLive);
			}),
			revokeLease: async lease => call(() => {
				endLease(lease);
				return {kind: 'granted', lease};
			}),
			close: async () => undefined,
		};
	};

	return {
		store: connect(directAccess),
		connect,
		read: key => items.get(key)?.value,
		put(key, value) {
			change([{key, value}], []);
		},
		countWrites: () => writes,
	};
}
