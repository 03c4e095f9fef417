/** State, messages and effects of the scheduler. */
import type {MonotonicTime, Unit, WorkerId} from '#core';
import type {
	JobKey, JobOutcome, JobProgress, JobSubmission, QueueName, SchedulingConfiguration, TaskName, WorkerIncarnation, WorkerSnapshot,
} from '#jobs';

/** Name of the agent beside a worker. */
export type AgentName = Unit<string, 'agent'>;

/**
A run of a task that was ordered.

- `starting`: ordered, not yet seen on the worker.
- `running`: the worker listed it or confirmed the start.
- `stopping`: a stop was ordered; its capacity is free when the end is listed.
*/
export type TaskRun = Readonly<{
	incarnation: WorkerIncarnation;
	run: number;
	stage: 'starting' | 'running' | 'stopping';
	/** Whether the worker answered a stop; the run can no longer start there. */
	isStopConfirmed: boolean;
	/** When the last start or stop of the run was ordered. */
	orderedAt: MonotonicTime;
	startedAt: MonotonicTime;
	percent: number;
	/** When the percent last rose. */
	progressedAt: MonotonicTime;
	/** Percent and time from which the pace of this run counts; a run that resumes from a checkpoint begins above 0. */
	paceFrom: Readonly<{percent: number; at: MonotonicTime}>;
}>;

export type TaskState = Readonly<{
	isDone: boolean;
	/** Numbers of the runs that failed. */
	failedRuns: readonly number[];
	lastRun: number;
	checkpoint: string;
	/** Percent at which the checkpoint was seen; picks the latest one of a gang. */
	checkpointPercent: number;
	run: TaskRun | undefined;
	/** Workers on which the task failed or got stuck. */
	avoided: readonly WorkerId[];
	/** How often it was stopped for more urgent work in this term. */
	preemptions: number;
}>;

export type SchedulerJob = Readonly<{
	submission: JobSubmission;
	tasks: ReadonlyMap<TaskName, TaskState>;
	outcome: 'queued' | JobOutcome;
	/** Raised by every change that has to be stored. */
	version: number;
	/** Version that the store has. */
	storedVersion: number;
	/** Version of the progress key in the store; 0 if there is none. */
	keyVersion: number;
	/** When the logs last told why it waits. */
	waitLoggedAt: MonotonicTime;
	/** How many times as long as estimated its tasks take, by their progress; undefined while nothing is known. */
	slowness: number | undefined;
	/** Checkpoints of its tasks as they were last sent to the store, and when. */
	storedCheckpoints: Readonly<{joined: string; at: MonotonicTime}>;
	/** When the last task ended or the job arrived; waiting counts from here. */
	changedAt: MonotonicTime;
	/** Whether the job was in the store when this scheduler took over, so that its tasks may run on workers not yet read. */
	isInherited: boolean;
	endedAt: number | undefined;
	/** Monotonic time of the end, for the removal of old records. */
	endedAtMonotonic: MonotonicTime | undefined;
}>;

/** What the ends and refusals of a worker say about it. */
export type WorkerHealth = Readonly<{
	/** Jobs with failures since the last task that was done there. */
	failedJobs: readonly JobKey[];
	avoidedUntil: MonotonicTime;
}>;

/** A listed end that waits for its job's progress to be stored. */
export type PendingEnd = Readonly<{number: number; job: JobKey; version: number}>;

export type SchedulerWorker = Readonly<{
	agent: AgentName;
	snapshot: WorkerSnapshot;
	contact: Readonly<{kind: 'attached'}> | Readonly<{kind: 'lost'; runsUntil: MonotonicTime}>;
	/** When the last renewal of the agent was answered. */
	grantedAt: MonotonicTime;
	health: WorkerHealth;
	/** Highest end that was handled. */
	handledEnd: number;
	/** Highest end up to which everything is stored. */
	notedEnd: number;
	pendingEnds: readonly PendingEnd[];
}>;

/** A worker that may still run tasks of an earlier scheduler. Another worker beside the same agent shows that it is gone. */
export type UnreadWorker = Readonly<{worker: WorkerId; until: MonotonicTime}>;

/** A worker that a scheduler uses, with the agent beside it. */
export type UsedWorker = Readonly<{agent: AgentName; worker: WorkerId}>;

export type SchedulerState = Readonly<{
	epoch: number;
	configuration: SchedulingConfiguration | undefined;
	jobs: ReadonlyMap<JobKey, SchedulerJob>;
	/** By name of agent; one worker beside each. */
	workers: ReadonlyMap<AgentName, SchedulerWorker>;
	/** Workers that an earlier scheduler used and that were not read yet, by the agents beside them, and until when their runs may last. */
	unread: ReadonlyMap<AgentName, UnreadWorker>;
	/** Whether the stored jobs were read. */
	isLoaded: boolean;
	/** Whether anything changed that may let a task start. */
	isScheduleDue: boolean;
}>;

/** Answer to one start. `unknown` means that no answer came. */
export type StartAnswer = Readonly<{
	task: TaskName;
	run: number;
	result: 'started' | 'no-room' | 'unhealthy' | 'too-late' | 'run-too-low' | 'superseded' | 'invalid' | 'unknown';
}>;

export type SchedulerMessage =
	| Readonly<{kind: 'configured'; configuration: SchedulingConfiguration}>
	/** Stored jobs and progress at the takeover. */
	| Readonly<{kind: 'loaded'; jobs: readonly LoadedJob[]; workers: readonly UsedWorker[]}>
	| Readonly<{kind: 'submitted'; submission: JobSubmission}>
	| Readonly<{kind: 'cancelled'; job: JobKey}>
	/** A renewal of an agent; without a snapshot nothing changed since the last one. */
	| Readonly<{kind: 'renewed'; agent: AgentName; snapshot: WorkerSnapshot | undefined}>
	/** The worker ended in an orderly way. */
	| Readonly<{kind: 'left'; agent: AgentName; incarnation: WorkerIncarnation}>
	| Readonly<{kind: 'detached'; agent: AgentName}>
	| Readonly<{kind: 'start-answered'; agent: AgentName; answers: readonly StartAnswer[]}>
	/** Stops that the worker carried out, or refused since the run was never there. */
	| Readonly<{kind: 'stop-answered'; agent: AgentName; orders: readonly StopOrder[]}>
	| Readonly<{kind: 'stored'; job: JobKey; version: number; keyVersion: number}>
	| Readonly<{kind: 'tick'}>;

export type LoadedJob = Readonly<{submission: JobSubmission; isCancelled: boolean; progress: JobProgress | undefined; keyVersion: number}>;

export type StartOrder = Readonly<{task: TaskName; run: number; checkpoint: string}>;
export type StopOrder = Readonly<{task: TaskName; run: number}>;

export type SchedulerEffect =
	| Readonly<{kind: 'start'; agent: AgentName; incarnation: string; job: JobKey; specification: string; orders: readonly StartOrder[]}>
	| Readonly<{kind: 'stop'; agent: AgentName; incarnation: string; orders: readonly StopOrder[]}>
	| Readonly<{kind: 'store-progress'; job: JobKey}>
	/** The number of stored ends rose; the agent should be told soon. */
	| Readonly<{kind: 'acknowledge'; agent: AgentName}>
	| Readonly<{kind: 'remove-records'; job: JobKey}>
	| Readonly<{kind: 'log'; event: string; fields: Readonly<Record<string, unknown>>}>;

/** Jobs of each queue of which no task has started. */
export type PendingCounts = ReadonlyMap<QueueName, number>;

