/** Observations of the pace of runs, and what is believed of workers and of tasks that share one. */
import type {MonotonicTime, Unit} from '#core';
import type {TaskName, WorkerIncarnation} from '#jobs';

/** Kind of a task: its image, or its queue and shape. */
export type TaskKind = Unit<string, 'task-kind'>;

/** Runs that should take equally long: those of one step and occurrence that have their data equally near. */
export type ComparableGroup = Unit<string, 'comparable-group'>;

/** A worker's incarnation as a key; another incarnation is another worker. */
export type WorkerKey = Unit<string, 'worker-key'>;

/** Progress of a run as last reported, or its end. */
export type RunSample = Readonly<{
	task: TaskName;
	run: number;
	worker: WorkerIncarnation;
	group: ComparableGroup;
	kind: TaskKind;
	/** Kinds of the other runs on the worker, each once and in order. */
	neighbours: readonly TaskKind[];
	percent: number;
	/** When the percentage was reached. */
	at: MonotonicTime;
	/** From where the pace is measured if the run was not sampled before. */
	baseline: PacePoint;
	isEnded: boolean;
}>;

/** A percentage and when it was reached. */
export type PacePoint = Readonly<{percent: number; at: MonotonicTime}>;

/** The part of a run that is being measured: since it started, its pace or its neighbours changed. */
export type PaceWindow = Readonly<{
	start: PacePoint;
	/** The end of the part that was measured last; the start while none was. */
	measured: PacePoint;
	/** Undefined if the neighbours changed since the window began. */
	neighbours: readonly TaskKind[] | undefined;
}>;

/** Pace of a run over its window, in percent a millisecond. */
export type Measurement = Readonly<{sample: RunSample; pace: number; neighbours: readonly TaskKind[] | undefined}>;

/** Pace of a run of a group as it would be on a usual worker without slowing neighbours. */
export type ComparablePace = Readonly<{run: string; worker: WorkerKey; pace: number}>;

/** The newest paces of a group, ended runs included. */
export type GroupPaces = Readonly<{paces: readonly ComparablePace[]; at: MonotonicTime}>;

/** Pace of a run in relation to the usual one of its group. */
export type Observation = Readonly<{
	run: string;
	worker: WorkerKey;
	kind: TaskKind;
	/** Undefined if the neighbours changed meanwhile. */
	neighbours: readonly TaskKind[] | undefined;
	/** Natural logarithm of the ratio to the group's usual pace. */
	logarithm: number;
	at: MonotonicTime;
}>;

/** What is known of a worker. */
export type WorkerPace = Readonly<{
	worker: WorkerIncarnation;
	/** The newest observation of each run. */
	observations: readonly Observation[];
	/** Speed as a multiple of a usual worker's; undefined while there are too few observations. */
	speed: number | undefined;
	/** Until when the speed holds without another observation. */
	until: MonotonicTime;
}>;

/** Belief that tasks of a kind are slower beside those of another one. */
export type Interference = Readonly<{
	kind: TaskKind;
	neighbour: TaskKind;
	/** Pace beside the neighbour in relation to the pace without it. */
	factor: number;
	observationsWith: number;
	observationsWithout: number;
	since: MonotonicTime;
	/** Until when the belief holds without confirmation. */
	until: MonotonicTime;
}>;

export type PaceState = Readonly<{
	/** Open windows by task and run. */
	windows: ReadonlyMap<string, PaceWindow>;
	groups: ReadonlyMap<ComparableGroup, GroupPaces>;
	workers: ReadonlyMap<WorkerKey, WorkerPace>;
	/** The newest observations of each kind with known neighbours. */
	kinds: ReadonlyMap<TaskKind, readonly Observation[]>;
	/** Held beliefs by kind and neighbour. */
	interference: ReadonlyMap<string, Interference>;
	/** Number of samples, by which kinds take turns in being judged. */
	turn: number;
}>;

/** A belief that began or ended. */
export type BeliefChange =
	| Readonly<{kind: 'interference-began' | 'interference-ended'; belief: Interference}>
	| Readonly<{kind: 'slow-worker-began' | 'slow-worker-ended'; worker: WorkerIncarnation; speed: number; observations: number; until: MonotonicTime}>;

export type PaceStep = Readonly<{state: PaceState; changes: readonly BeliefChange[]}>;
