import type {
	AcceleratorIndex, GangShape, JobId, PlanName, RackName, Timestamp, WorkerId,
} from '#core';

/** Accelerators of one worker that are guaranteed to a plan. */
export type WorkerCell = Readonly<{
	plan: PlanName;
	accelerators: readonly AcceleratorIndex[];
	/** The whole cell that they are part of; absent if only the plan is known. */
	cell?: CellReference;
}>;

/** One cell of a layout. */
export type CellReference = Readonly<{
	/** Position in the layout. */
	position: number;
	adjacency: GangShape['adjacency'];
	/** Accelerators of the whole cell, across all workers. */
	accelerators: number;
}>;

/** Accelerators of one worker that members of a gang hold. */
export type WorkerHolding = Readonly<{
	job: JobId;
	plan: PlanName;
	accelerators: readonly AcceleratorIndex[];
	preemptible: boolean;
	submittedAt: Timestamp;
}>;

/** The state of one worker that placement depends on. */
export type WorkerView = Readonly<{
	worker: WorkerId;
	rack: RackName;
	/** Number of accelerators; their indexes start at 0. */
	accelerators: number;
	cells: readonly WorkerCell[];
	holdings: readonly WorkerHolding[];
}>;

/** The workers of one availability zone that accept new work. */
export type ZoneView = Readonly<{
	workers: readonly WorkerView[];
	/** Known workers that accept no new work at present but may return. They count towards what the zone could ever hold. */
	absent?: readonly WorkerView[];
	/** False until every worker has reported; until then no shape is reported as impossible. */
	isComplete?: boolean;
}>;

/** A gang that waits for accelerators. */
export type GangRequest = Readonly<{
	job: JobId;
	plan: PlanName;
	shape: GangShape;
	preemptible: boolean;
	submittedAt: Timestamp;
}>;

/** The worker and the accelerators of one member. */
export type MemberPlacement = Readonly<{member: number; worker: WorkerId; accelerators: readonly AcceleratorIndex[]}>;

/** The placement decision for one gang in one zone. */
export type Placement =
	| Readonly<{kind: 'placed'; members: readonly MemberPlacement[];
		/** Jobs that borrow accelerators of the placement and have to be evicted first. */
		evictions: readonly JobId[];}>
		| Readonly<{kind: 'waiting'; reason: 'accelerators-busy'}>
		| Readonly<{kind: 'impossible'; reason: 'impossible-shape'; detail: string}>;
