import type {Configuration} from '#configuration';
import type {
	Milliseconds, MonotonicTime, WorkerId, ZoneName,
} from '#core';
import type {AgentView} from '#membership';
import type {AbsentWorker, InventoryWorker, Layout} from '#placement';

/** The layout in force and the version of the store's value that it replaces with its next change. */
export type StoredLayout = Readonly<{layout: Layout; version: number}>;

export type LayoutState = Readonly<{
	zone: ZoneName;
	absenceDelay: Milliseconds;
	/** Absent until the store has been read for the first time. */
	stored: StoredLayout | undefined;
	/** The store holds an older layout than the one in force. */
	isStoreStale: boolean;
	isWriting: boolean;
	/** What the last repair was made from; the same again would change nothing. */
	lastRepairInput: string;
	workers: ReadonlyMap<WorkerId, InventoryWorker>;
	absent: ReadonlyMap<WorkerId, AbsentWorker>;
	startedAt: MonotonicTime;
	/** False until the agents have had time to announce themselves. */
	isComplete: boolean;
}>;

export type LayoutMessage =
	/** Sent every repair interval. */
	| Readonly<{kind: 'repair-due'; configuration: Configuration | undefined; agents: readonly AgentView[]}>
	/** The store's value, from a watch, a read or a refused write; absent if the key does not exist. */
	| Readonly<{kind: 'observed'; layout: Layout | undefined; version: number}>
	| Readonly<{kind: 'written'; layout: Layout; version: number}>
	| Readonly<{kind: 'write-refused'; layout: Layout | undefined; version: number}>
	/** The write may or may not have taken effect. */
	| Readonly<{kind: 'write-failed'}>;

export type LayoutEffect = Readonly<{kind: 'write'; layout: Layout; expectedVersion: number}>;
