/** Interface of the platform's key-value service. */
import type {Milliseconds} from '#core';

/** A value with its version. The version of a key only increases; 0 means that the key does not exist. */
export type StoredValue = Readonly<{key: string; value: unknown; version: number}>;

/** A failed call. `perhaps-applied` means that a write may have taken effect. */
export type StoreFailure = Readonly<{
	kind: 'unavailable';
	effect: 'not-applied' | 'perhaps-applied';
	message: string;
	retryAfterMilliseconds?: Milliseconds;
}>;

export type ReadReply = Readonly<{kind: 'found'; stored: StoredValue}> | Readonly<{kind: 'absent'}> | StoreFailure;

export type WriteReply =
	| Readonly<{kind: 'written'; version: number}>
	| Readonly<{kind: 'conflict'; current: StoredValue | undefined}>
	| Readonly<{kind: 'lease-unknown'}>
	| StoreFailure;

export type ListReply = Readonly<{kind: 'listed'; revision: number; values: readonly StoredValue[]}> | StoreFailure;

export type WatchEvent = Readonly<{kind: 'put'; stored: StoredValue}> | Readonly<{kind: 'deleted'; key: string}>;

/** `compacted` means that events were dropped and the keys must be listed again. */
export type WatchReply =
	| Readonly<{kind: 'events'; revision: number; events: readonly WatchEvent[]}>
	| Readonly<{kind: 'compacted'}>
	| StoreFailure;

export type LeaseReply = Readonly<{kind: 'granted'; lease: string}> | Readonly<{kind: 'lease-unknown'}> | StoreFailure;

/** Client of the key-value service. Every call has a timeout, and none throws. */
export type KeyValueStore = Readonly<{
	read(key: string): Promise<ReadReply>;
	list(prefix: string): Promise<ListReply>;
	/** Compare-and-swap: writes only if the key has the expected version; 0 creates the key. */
	write(key: string, value: unknown, options: Readonly<{expectedVersion: number; lease?: string}>): Promise<WriteReply>;
	remove(key: string, expectedVersion: number): Promise<WriteReply>;
	/** Waits for events under the prefix after the given store revision. */
	watch(prefix: string, afterRevision: number, wait: Milliseconds): Promise<WatchReply>;
	grantLease(timeToLive: Milliseconds): Promise<LeaseReply>;
	renewLease(lease: string): Promise<LeaseReply>;
	revokeLease(lease: string): Promise<LeaseReply>;
	close(): Promise<void>;
}>;

/** Changes that are applied atomically. */
export type Transaction = Readonly<{
	/** Expected versions of the keys; 0 means that the key does not exist. */
	conditions: ReadonlyArray<Readonly<{key: string; expectedVersion: number}>>;
	puts: ReadonlyArray<Readonly<{key: string; value: unknown; lease?: string}>>;
	removals: readonly string[];
}>;

/** `version` is the new version of each key that was put. */
export type CommitReply =
	| Readonly<{kind: 'committed'; version: number}>
	/** Current values of the keys in the conditions, without absent keys. */
	| Readonly<{kind: 'conflict'; current: readonly StoredValue[]}>
	| Readonly<{kind: 'lease-unknown'}>
	| StoreFailure;

/** A store that can change several keys atomically. */
export type TransactionalStore = KeyValueStore & Readonly<{commit(transaction: Transaction): Promise<CommitReply>}>;
