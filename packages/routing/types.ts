import type {MonotonicTime, ServiceClass, WorkerId} from '#core';

/** Requests of each class that are queued or running at one worker. */
export type ClassLoad = Readonly<Record<ServiceClass, number>>;

/** One worker that may take a request, with what the deciding entry knows about its load. */
export type Candidate = Readonly<{
	worker: WorkerId;
	slots: number;
	/** Slots that long work may take at once. */
	longSlots: number;
	/** Requests that this entry has sent and not yet seen answered. */
	outstanding: ClassLoad;
	/** Requests that other entries have there, from the agent's reports. */
	others: ClassLoad;
	/** Part of its slots that the worker counts for, below 1 during slow start. */
	share: number;
}>;

/** Candidates by index, so that a choice looks at a few of them without listing all. */
export type CandidateSource = Readonly<{
	count: number;
	/** `undefined` if the worker at the index may not take the request. */
	at(index: number): Candidate | undefined;
}>;

export type WorkerCondition =
	| Readonly<{kind: 'active'; since: MonotonicTime}>
	| Readonly<{kind: 'ejected'; until: MonotonicTime; times: number}>
	/** One request is out to find out whether the worker has recovered. */
	| Readonly<{kind: 'trial'; startedAt: MonotonicTime; times: number}>;

/** What an entry has seen of a worker; the counts decay. */
export type WorkerHealth = Readonly<{condition: WorkerCondition; succeeded: number; failed: number; countedAt: MonotonicTime}>;

export type HealthState = ReadonlyMap<WorkerId, WorkerHealth>;

export type HealthMessage =
	| Readonly<{kind: 'joined'; worker: WorkerId}>
	| Readonly<{kind: 'left'; worker: WorkerId}>
	| Readonly<{kind: 'dispatched'; worker: WorkerId}>
	| Readonly<{kind: 'ended'; worker: WorkerId; end: 'succeeded' | 'failed' | 'not-started'}>;

/** Load of each worker as one entry knows it. */
export type LoadState = ReadonlyMap<WorkerId, Readonly<{outstanding: ClassLoad; others: ClassLoad}>>;

export type LoadMessage =
	| Readonly<{kind: 'joined'; worker: WorkerId}>
	| Readonly<{kind: 'left'; worker: WorkerId}>
	| Readonly<{kind: 'dispatched'; worker: WorkerId; serviceClass: ServiceClass}>
	| Readonly<{kind: 'ended'; worker: WorkerId; serviceClass: ServiceClass}>
	| Readonly<{kind: 'reported'; worker: WorkerId; load: ClassLoad}>;
