import type {Milliseconds, MonotonicTime} from '#core';
import type {HttpReply, TaskHandle} from '#kernel';
import type {StoredValue, WatchEvent} from '#store';

/** Sends the reply to one HTTP request. */
export type Respond = (reply: HttpReply) => void;

export type Watcher = Readonly<{prefix: string; after: number; respond: Respond; id: number}>;

export type Lease = Readonly<{id: string; timeToLive: Milliseconds; expiresAt: MonotonicTime}>;

export type ValueRecord = Readonly<{stored: StoredValue; lease: string | undefined}>;

/** Faults and limits that a test sets with `POST /switches`. */
export type StoreSwitches = Readonly<{
	/** Every call, including pending watches, gets a 503 response. */
	outage: boolean;
	/** New calls are neither applied nor replied to. A pending watch gets no reply when it expires. */
	hang: boolean;
	/** Delay of every reply; the calls are applied on arrival. */
	slownessMilliseconds: Milliseconds;
	/** Number of subsequent writes and removals that are applied without a reply. */
	loseWriteAnswers: number;
	/** Limits writes, removals and lease calls; 0 disables the limit. */
	writesPerSecond: number;
	/** Limits reads, lists and watches; 0 disables the limit. */
	readsPerSecond: number;
	/** Number of events retained for watches; a watch that starts before them gets a 410 response. */
	historyLimit: number;
}>;

/** Token bucket that holds at most one second of the rate. */
export type Bucket = Readonly<{tokens: number; filledAt: MonotonicTime}>;

/** State of the stand-in key-value service. */
export type StoreState = Readonly<{
	revision: number;
	values: ReadonlyMap<string, ValueRecord>;
	leases: ReadonlyMap<string, Lease>;
	nextLease: number;
	history: ReadonlyArray<Readonly<{revision: number; event: WatchEvent}>>;
	/** Revision of the newest event dropped from the history. */
	compactedThrough: number;
	watchers: readonly Watcher[];
	nextWatcher: number;
	switches: StoreSwitches;
	calls: ReadonlyMap<StoreCallName, number>;
	refusedCalls: number;
	buckets: Readonly<{write: Bucket; read: Bucket}>;
}>;

export type StoreCall =
	| Readonly<{kind: 'read'; key: string}>
	| Readonly<{kind: 'list'; prefix: string}>
	| Readonly<{kind: 'write'; key: string; value: unknown; expectedVersion: number; lease: string | undefined}>
	| Readonly<{kind: 'remove'; key: string; expectedVersion: number}>
	| Readonly<{kind: 'watch'; prefix: string; after: number; wait: Milliseconds; signal: AbortSignal}>
	| Readonly<{kind: 'grant-lease'; timeToLive: Milliseconds}>
	| Readonly<{kind: 'renew-lease'; lease: string}>
	| Readonly<{kind: 'revoke-lease'; lease: string}>;

export type StoreCallName = StoreCall['kind'];

export type StoreMessage =
	| Readonly<{kind: 'call'; call: StoreCall; respond: Respond}>
	| Readonly<{kind: 'watch-expired'; watcher: number}>
	| Readonly<{kind: 'lease-due'; lease: string}>
	| Readonly<{kind: 'set-switches'; switches: Partial<StoreSwitches>; respond: Respond}>
	| Readonly<{kind: 'count-calls'; respond: Respond}>;

export type StoreEffect =
	| Readonly<{kind: 'respond'; respond: Respond; reply: HttpReply; delay: Milliseconds}>
	| Readonly<{kind: 'schedule-watch-expiry'; watcher: number; delay: Milliseconds; signal: AbortSignal}>
	| Readonly<{kind: 'schedule-lease-check'; lease: string; delay: Milliseconds}>;

export type StoreTask = TaskHandle<StoreState, StoreMessage>;

export type StoreContext = Readonly<{store: StoreTask}>;
