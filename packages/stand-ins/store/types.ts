import type {HttpReply, TaskHandle} from '#kernel';
import type {StoredValue, WatchEvent} from '#store';

/** Answers one HTTP call. */
export type Respond = (reply: HttpReply) => void;

export type Watcher = Readonly<{prefix: string; after: number; respond: Respond; id: number}>;

/** All state of the stand-in key-value service. */
export type StoreState = Readonly<{
	revision: number;
	values: ReadonlyMap<string, StoredValue>;
	history: ReadonlyArray<Readonly<{revision: number; event: WatchEvent}>>;
	watchers: readonly Watcher[];
	nextWatcher: number;
}>;

export type StoreMessage =
	| Readonly<{kind: 'read'; key: string; respond: Respond}>
	| Readonly<{kind: 'list'; prefix: string; respond: Respond}>
	| Readonly<{kind: 'write'; key: string; value: unknown; expectedVersion: number; respond: Respond}>
	| Readonly<{kind: 'remove'; key: string; expectedVersion: number; respond: Respond}>
	| Readonly<{kind: 'watch'; prefix: string; after: number; wait: number; respond: Respond}>
	| Readonly<{kind: 'watch-expired'; watcher: number}>;

export type StoreEffect =
	| Readonly<{kind: 'respond'; respond: Respond; reply: HttpReply}>
	| Readonly<{kind: 'schedule-expiry'; watcher: number; delay: number}>;

export type StoreContext = Readonly<{store: TaskHandle<StoreState, StoreMessage>}>;
