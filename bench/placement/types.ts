/** Types of the placement benchmark: a discrete-event model of one zone in virtual time. */
import type {Configuration} from '#configuration';
import type {
	GangShape, JobId, Milliseconds, PlanName,
} from '#core';
import type {
	GangRequest, InventoryWorker, Layout, MemberPlacement, ZoneView,
} from '#placement';

/** Guaranteed gangs fit a cell of their plan, open gangs run where nobody is guaranteed, borrowing gangs are preemptible. */
export type GangClass = 'guaranteed' | 'open' | 'borrowing';

export const gangClasses: readonly GangClass[] = ['guaranteed', 'open', 'borrowing'];

/** One gang of the workload with everything that chance decides about it. */
export type BenchGang = Readonly<{
	gangClass: GangClass;
	request: GangRequest;
	run: Milliseconds;
	/** What the caller declared; wrong for a share of the gangs. */
	declared: Milliseconds;
	/** How long it takes to checkpoint and stop when it is evicted. */
	checkpoint: Milliseconds;
	/** How long it takes until the end of the gang is seen by whoever places the next one. */
	reportLag: Milliseconds;
	/** The source that submits the next gang when this one has ended; absent for open arrivals. */
	source?: number;
}>;

/** A stream of gangs. A cell's source submits the next gang some time after the last one ended, so it never exceeds its guarantee. */
export type Source = Readonly<{
	kind: 'cell' | 'arrivals';
	gangClass: GangClass;
	plan: PlanName;
	shapes: readonly GangShape[];
	/** Mean time from the end of a gang, or from the arrival of the last one, to the next. */
	interval: Milliseconds;
	run: Milliseconds;
}>;

export type Scenario = Readonly<{
	name: string;
	workers: readonly InventoryWorker[];
	configuration: Configuration;
	layout: Layout;
	sources: readonly Source[];
	/** Accelerators that each plan is guaranteed, as counts; what is left belongs to the plan of the open gangs. */
	quotas: ReadonlyMap<PlanName, number>;
	horizon: Milliseconds;
}>;

/** What a policy sees. */
export type Snapshot = Readonly<{
	view: ZoneView;
	quotas: ReadonlyMap<PlanName, number>;
}>;

export type Decision =
	| Readonly<{kind: 'start'; members: readonly MemberPlacement[]; evictions: readonly JobId[]}>
	| Readonly<{kind: 'wait'; evictions: readonly JobId[]}>;

export type Policy = Readonly<{name: string; decide(snapshot: Snapshot, gang: GangRequest): Decision}>;

export type ClassResult = Readonly<{finished: number; completions: readonly number[]; waits: readonly number[]}>;

export type Result = Readonly<{
	classes: ReadonlyMap<GangClass, ClassResult>;
	/** Mean share of free accelerators that no waiting shape can use, by the adjacency of accelerators alone. */
	fragmentation: number;
	/** The same with the cells of other plans counted as unusable for gangs that may not borrow. */
	ruledFragmentation: number;
	utilisation: number;
	evictions: number;
}>;
