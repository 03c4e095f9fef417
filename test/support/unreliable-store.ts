/** A store in virtual time whose writes may be slow, refused, or carried out without an answer. */
import {sleep, type VirtualClock} from '#kernel';
import type {
	CommitReply, StoredValue, Transaction, TransactionalStore,
} from '#store';

/** What happens to a write. Its conditions are checked when it is carried out. */
export type WriteFate =
	| Readonly<{kind: 'answered'; appliedAfter: number; answeredAfter: number}>
	| Readonly<{kind: 'refused'}>
	| Readonly<{kind: 'unanswered'; appliedAfter: number}>
	| Readonly<{kind: 'never-applied'}>;

export type UnreliableStore = Readonly<{
	store: TransactionalStore;
	/** Current value of a key. */
	read(key: string): unknown;
	/** Writes a value as another process does. */
	put(key: string, value: unknown): void;
	countWrites(): number;
}>;

/** Timeout of a call, after which the caller knows no answer. */
const callTimeoutMilliseconds = 900;

/** Creates a store; `chooseFate` decides what happens to each write. */
export function createUnreliableStore(clock: VirtualClock, chooseFate: (transaction: Transaction) => WriteFate): UnreliableStore {
	const items = new Map<string, StoredValue>();
	let revision = 0;
	let writes = 0;
	const apply = ({conditions, puts, removals}: Transaction): CommitReply => {
		if (conditions.some(({key, expectedVersion}) => (items.get(key)?.version ?? 0) !== expectedVersion)) {
			return {kind: 'conflict', current: conditions.flatMap(({key}) => items.get(key) ?? [])};
		}

		revision++;
		for (const {key, value} of puts) {
			items.set(key, {key, value, version: revision});
		}

		for (const key of removals) {
			items.delete(key);
		}

		return {kind: 'committed', version: revision};
	};

	const commit = async (transaction: Transaction): Promise<CommitReply> => {
		writes++;
		const fate = chooseFate(transaction);
		switch (fate.kind) {
			case 'answered': {
				await sleep(clock, fate.appliedAfter);
				const reply = apply(transaction);
				await sleep(clock, fate.answeredAfter);
				return reply;
			}

			case 'refused': {
				return {kind: 'unavailable', effect: 'not-applied', message: 'status 503'};
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

		await sleep(clock, callTimeoutMilliseconds);
		return {kind: 'unavailable', effect: 'perhaps-applied', message: 'timeout'};
	};

	const write: TransactionalStore['write'] = async (key, value, {expectedVersion}) => {
		const reply = await commit({conditions: [{key, expectedVersion}], puts: [{key, value}], removals: []});
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
	};

	const store: Partial<TransactionalStore> = {
		commit,
		write,
		async read(key) {
			const stored = items.get(key);
			return stored === undefined ? {kind: 'absent'} : {kind: 'found', stored};
		},
		async list(prefix) {
			return {kind: 'listed', revision, values: [...items.values()].filter(({key}) => key.startsWith(prefix))};
		},
	};
	return {
		store: store as TransactionalStore,
		read: key => items.get(key)?.value,
		put(key, value) {
			items.set(key, {key, value, version: ++revision});
		},
		countWrites: () => writes,
	};
}
