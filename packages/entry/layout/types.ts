import type {Configuration} from '#configuration';
import type {
	Milliseconds, MonotonicTime, WorkerId, ZoneName,
} from '#core';
import type {AgentView} from '#membership';
import type {AbsentWorker, InventoryWorker, Layout} from '#placement';

/** The layout in force, and the expected version of the store's value for the next write. */
export type StoredLayout = Readonly<{layout: Layout; version: number}>;

export type LayoutState = Readonly<{
	zone: ZoneName;
	absenceDelay: Milliseconds;
	/** Undefined until the store has been read for the first time. */
	stored: StoredLayout | undefined;
	/** Whether the store holds an older layout than the one in force. */
	isStoreStale: boolean;
	isWriting: boolean;
	/** Serialized input of the last repair that changed nothing; the same input is not repaired again. */
	lastRepairInput: string;
	workers: ReadonlyMap<WorkerId, InventoryWorker>;
	absent: ReadonlyMap<WorkerId, AbsentWorker>;
	startedAt: MonotonicTime;
	/** False until agents have had time to announce themselves. */
	isComplete: boolean;
}>;

export type LayoutMessage =
	/** Sent every repair interval. */
	| Readonly<{kind: 'repair-due'; configuration: Configuration | undefined; agents: readonly AgentView[]}>
	/** The store's value, from a watch or a read; the layout is undefined if the key does not exist. */
	| Readonly<{kind: 'observed'; layout: Layout | undefined; version: number}>
	| Readonly<{kind: 'written'; layout: Layout; version: number}>
	| Readonly<{kind: 'write-refused'; layout: Layout | undefined; version: number}>
	/** The write may or may not have been applied, or conflicted with a stored layout that is not valid. */
	| Readonly<{kind: 'write-failed'}>;

export type LayoutEffect = Readonly<{kind: 'write'; layout: Layout; expectedVersion: number}>;
