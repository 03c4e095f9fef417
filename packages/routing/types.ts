import type {MonotonicTime, ServiceClass, WorkerId} from '#core';

/** Requests of each class that are queued or running at one worker. */
export type ClassLoad = Readonly<Record<ServiceClass, number>>;

/** A worker that may take a request, with its load as the deciding entry sees it. */
export type Candidate = Readonly<{
	worker: WorkerId;
	slots: number;
	/** Slots that long work may use. */
	longSlots: number;
	/** Unanswered requests of this entry. */
	outstanding: ClassLoad;
	/** Estimated requests of other entries, from the agent's reports. */
	others: ClassLoad;
	/** Share of the worker's slots that counts; below 1 during slow start. */
	share: number;
}>;

/** Candidates by index, so that a choice reads a few of them without building the whole list. */
export type CandidateSource = Readonly<{
	count: number;
	/** `undefined` if the worker at the index may not take the request. */
	at(index: number): Candidate | undefined;
}>;

export type WorkerCondition =
	| Readonly<{kind: 'active'; since: MonotonicTime}>
	| Readonly<{kind: 'ejected'; until: MonotonicTime; ejections: number}>
	/** A single request was dispatched to test whether the worker has recovered. */
	| Readonly<{kind: 'trial'; startedAt: MonotonicTime; ejections: number}>;

/** Health of a worker as one entry sees it; the counts decay. */
export type WorkerHealth = Readonly<{condition: WorkerCondition; succeeded: number; failed: number; countedAt: MonotonicTime}>;

export type HealthState = ReadonlyMap<WorkerId, WorkerHealth>;

export type HealthMessage =
	| Readonly<{kind: 'joined'; worker: WorkerId}>
	| Readonly<{kind: 'left'; worker: WorkerId}>
	| Readonly<{kind: 'dispatched'; worker: WorkerId}>
	| Readonly<{kind: 'ended'; worker: WorkerId; end: 'succeeded' | 'failed' | 'not-started'}>;

/** Load of each worker as one entry sees it. */
export type LoadState = ReadonlyMap<WorkerId, Readonly<{outstanding: ClassLoad; others: ClassLoad}>>;

export type LoadMessage =
	| Readonly<{kind: 'joined'; worker: WorkerId}>
	| Readonly<{kind: 'left'; worker: WorkerId}>
	| Readonly<{kind: 'dispatched'; worker: WorkerId; serviceClass: ServiceClass}>
	| Readonly<{kind: 'ended'; worker: WorkerId; serviceClass: ServiceClass}>
	| Readonly<{kind: 'reported'; worker: WorkerId; load: ClassLoad}>;
