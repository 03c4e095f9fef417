/** State, messages and effects of the scheduler. */
import type {Map as PersistentMap, Set as PersistentSet} from 'immutable';
import type {MonotonicTime, Unit, WorkerId} from '#core';
import type {ClosedZones} from '#zones';
import type {PaceState, RunSample} from '#pace';
import type {
	EndedRun, JobKey, JobOutcome, JobProgress, JobSubmission, QueueName, SchedulingConfiguration, TaskCrash, TaskName, TaskProgress, WorkerIncarnation, WorkerSnapshot,
} from '#jobs';

import type {SchedulingPolicy} from './policy.js';

/** Name of the agent that runs beside a worker. */
export type AgentName = Unit<string, 'agent'>;

/**
A run of a task that the scheduler has ordered.

- `starting`: ordered, not yet reported by the worker.
- `running`: the worker listed the run or confirmed the start.
- `stopping`: a stop was ordered; the capacity becomes free when the end is listed.
*/
export type TaskRun = Readonly<{
	/** Agent beside the worker. */
	agent: AgentName;
	incarnation: WorkerIncarnation;
	run: number;
	stage: 'starting' | 'running' | 'stopping';
	/** Whether the worker answered the start or listed the run. Otherwise the start may still be carried out, also by a later incarnation. */
	isStartConfirmed: boolean;
	/** Whether the worker confirmed a stop; the run can no longer start there. */
	isStopConfirmed: boolean;
	/** When the last start or stop of the run was ordered. */
	orderedAt: MonotonicTime;
	startedAt: MonotonicTime;
	percent: number;
	/** When the percentage last increased. */
	progressedAt: MonotonicTime;
	/** Percentage and time from which the pace of the run is measured; a run that resumes from a checkpoint starts above 0. */
	paceBaseline: Readonly<{percent: number; at: MonotonicTime}>;
}>;

/**
Which incarnation of a worker refuses an unanswered start, since it has stopped the run.

- `ordered`: the stop was ordered and is not answered.
- `answered`: the incarnation has answered, and its next report shows whether the run was already there.
*/
export type StartRefusal =
	| Readonly<{kind: 'none'}>
	| Readonly<{kind: 'ordered'; incarnation: string; orderedAt: MonotonicTime}>
	| Readonly<{kind: 'answered'; incarnation: string}>
	| Readonly<{kind: 'confirmed'; incarnation: string}>;

/** The start of an ended run that was not answered. Until `until`, a worker with this identifier may carry it out, whatever an earlier incarnation has confirmed. */
export type UnansweredStart = Readonly<{agent: AgentName; worker: WorkerId; run: number; orderedAt: MonotonicTime; until: MonotonicTime; refusal: StartRefusal}>;

/** An acknowledgement of ends for an incarnation that is gone, or of an earlier process of its agent. Until it expires, the next incarnation of the identifier may carry it out and discard ends of its own. */
export type LateAcknowledgement = WorkerIncarnation & Readonly<{
	/** The process of the agent that sent it. */
	process: string | undefined;
	/** `with-process`: that process may have gone on to send it until it ended itself. */
	expiry: Readonly<{kind: 'with-process'}> | Readonly<{kind: 'at'; at: MonotonicTime}>;
}>;

/** A worker that a task leaves out of its next placements while there are others, until the given time; then it prefers others that have room. `times` counts how often the task avoided it. */
export type AvoidedWorker = Readonly<{worker: WorkerId; until: MonotonicTime; times: number}>;

export type TaskState = Readonly<{
	occurrence: number;
	stepIndex: number;
	isDone: boolean;
	/** Numbers of the runs that failed. */
	failedRuns: readonly number[];
	lastRun: number;
	checkpoint: string;
	/** The run that the checkpoint was reported for; 0 if an earlier scheduler stored it. */
	checkpointRun: number;
	/** Percentage at which the checkpoint was first reported; selects the newest one of a gang. */
	checkpointPercent: number;
	/** Percentage that the last run had reached when it was released; its end may be reported later. */
	lastPercent: number;
	run: TaskRun | undefined;
	/** Workers on which the task failed, got stuck or was not confirmed to have started, the latest one last. */
	avoided: readonly AvoidedWorker[];
	/** Crashes of workers on which the task ran. */
	crashes: readonly TaskCrash[];
	/** How often the task was preempted in this epoch. */
	preemptions: number;
}>;

/** Number of a job's tasks that wait for a worker, have a run, and are not done. */
export type TaskCounts = Readonly<{waiting: number; running: number; unfinished: number}>;

/** Room that a step is to get from runs being stopped, or once its workers are stored; lower ranks do not take it, and no other runs are stopped for the step meanwhile. */
export type RoomClaim = Readonly<{
	occurrence: number;
	stepIndex: number;
	/** Number of the step's tasks by agent. */
	taskCounts: ReadonlyMap<AgentName, number>;
	until: MonotonicTime;
}>;

/** Stored progress of tasks, by name without the job. */
export type StoredTasks = Readonly<Record<string, TaskProgress>>;

/**
Which occurrences of a job have begun. The tasks of an occurrence are held in memory only while it is open.

A job without a schedule has one occurrence, which is due at once.
*/
export type Occurrences = Readonly<{
	total: number;
	/** The first that has not begun. Earlier ones are open, not opened yet, or done. */
	next: number;
	/** Those that have begun and are not opened yet in this term, with their stored progress. */
	unopened: PersistentMap<number, StoredTasks>;
}>;

export type SchedulerJob = Readonly<{
	submission: JobSubmission;
	/** Estimated memory of the job without its tasks, and of the tasks that are open at the same time. */
	memory: Readonly<{recordBytes: number; taskBytes: number}>;
	/** Tasks of the open occurrences. */
	tasks: PersistentMap<TaskName, TaskState>;
	/** Names of the tasks of the open occurrences, by occurrence and step. */
	taskNames: PersistentMap<number, ReadonlyArray<readonly TaskName[]>>;
	occurrences: Occurrences;
	/** Numbers of tasks, kept up to date so that no message has to iterate over all of them. */
	counts: TaskCounts;
	/** Whether a task has begun on a worker, as far as this scheduler knows. */
	hasStarted: boolean;
	/** Whether a run of one of its tasks failed. */
	hasFailures: boolean;
	/** Whether a worker crashed under one of its tasks. */
	hasCrashes: boolean;
	outcome: 'queued' | JobOutcome;
	/** Incremented by every change that has to be stored. */
	version: number;
	/** Latest version that is stored. */
	storedVersion: number;
	/** Version of the progress key in the store; 0 if the key does not exist. */
	keyVersion: number;
	/** When the reason why the job waits was last logged. */
	waitLoggedAt: MonotonicTime;
	/** Ratio of the tasks' projected duration to the caller's estimate; undefined until there is enough progress. */
	slowdown: number | undefined;
	/** Checkpoints of the tasks as last sent to the store, and the time. */
	storedCheckpoints: Readonly<{joined: string; at: MonotonicTime}>;
	/** When a task last ended or the job arrived; waiting time is measured from here. */
	changedAt: MonotonicTime;
	/** Agents to whose workers the job's runs may be ordered; undefined if the record that says so is of an earlier version. */
	agents: PersistentSet<AgentName> | undefined;
	/** Version that has to be stored before a run may be ordered to one of `agents`. */
	agentsVersion: number;
	/** Workers on which room is held for the job. */
	claim: RoomClaim | undefined;
	/** When a search for runs to preempt for the job last found none. */
	preemptionFailedAt: MonotonicTime;
	/** Whether the job was in the store when this scheduler took over; its tasks may run on workers that have not reported yet. */
	isInherited: boolean;
	endedAt: number | undefined;
	/** Monotonic time of the end, from which the retention of the records counts. */
	endedAtMonotonic: MonotonicTime | undefined;
}>;

/** Health of a worker, derived from the ends and refusals that it reports. */
export type WorkerHealth = Readonly<{
	/** Jobs that failed since a task last completed there. */
	failedJobs: readonly JobKey[];
	avoidedUntil: MonotonicTime;
}>;

/** A listed end that is acknowledged once its job's progress is stored. */
export type PendingEnd = Readonly<{number: number; job: JobKey; version: number}>;

export type SchedulerWorker = Readonly<{
	agent: AgentName;
	snapshot: WorkerSnapshot;
	/** The process of the agent that reported the worker last; undefined if it is not known. */
	process: string | undefined;
	/** `attached`: the agent's last renewal reported the worker. A `lost` worker gets no orders, and keeps its runs until its last grant is over. */
	contact: 'attached' | 'lost';
	/** When the agent last reported the worker and received a grant for it. */
	grantedAt: MonotonicTime;
	health: WorkerHealth;
	/** Highest number of an end that was handled. */
	handledEnd: number;
	/** Highest number up to which the progress of every end is stored. */
	notedEnd: number;
	pendingEnds: readonly PendingEnd[];
}>;

/** A report of a worker by a process of its agent. */
export type AgentReport = Readonly<{process: string | undefined; snapshot: WorkerSnapshot}>;

/** A worker that may still run tasks of an earlier scheduler, or has not listed all their ends. It is gone if another worker reports beside the same agent. */
export type UnreadWorker = Readonly<{worker: WorkerId; until: MonotonicTime}>;

/** A worker that a scheduler uses, with the agent beside it. */
export type UsedWorker = Readonly<{agent: AgentName; worker: WorkerId}>;

/** What is learned of the pace of runs in this term. */
export type SchedulerPace = Readonly<{
	beliefs: PaceState;
	/** Runs that ended as done since the last samples were taken. */
	ended: readonly RunSample[];
	sampledAt: MonotonicTime;
}>;

export type SchedulerState = Readonly<{
	epoch: number;
	policy: SchedulingPolicy;
	configuration: SchedulingConfiguration | undefined;
	jobs: PersistentMap<JobKey, SchedulerJob>;
	/** By agent name; each agent has one worker. */
	workers: PersistentMap<AgentName, SchedulerWorker>;
	/** Tasks with a run on the worker beside an agent; agents without runs are left out. */
	runs: PersistentMap<AgentName, PersistentSet<TaskName>>;
	/** Agents whose workers listed ends that are not acknowledged yet. */
	unacknowledged: PersistentSet<AgentName>;
	/** Starts that may still be carried out, by task; tasks without any are left out. */
	unansweredStarts: PersistentMap<TaskName, readonly UnansweredStart[]>;
	/** Acknowledgements that later incarnations may carry out, by agent; agents without any are left out. */
	lateAcknowledgements: PersistentMap<AgentName, readonly LateAcknowledgement[]>;
	/** Workers of an earlier scheduler that have not listed all their runs yet, by agent name, with the time until which their runs may last. */
	unread: PersistentMap<AgentName, UnreadWorker>;
	/** Agents whose workers left, were replaced or announced that they leave, with the time until which they count as unstable. */
	departures: PersistentMap<AgentName, MonotonicTime>;
	/** Until then no other scheduler can have begun, which might extend leases that this one takes to be over. */
	leaseUntil: MonotonicTime;
	/** Whether the stored jobs have been loaded. */
	isLoaded: boolean;
	/** Ends of incarnations that were reported before the stored jobs were loaded. */
	deferredIncarnationEnds: readonly IncarnationEnd[];
	/** Zones that the operators have closed; no task starts on their workers. */
	closedZones: ClosedZones;
	/** Closed zones for which workers were looked for, with the revision of their keys. */
	checkedZones: ReadonlyMap<string, number>;
	/** When it was last logged that occurrences wait until others are done. */
	unopenedLoggedAt: MonotonicTime;
	/** Whether a change may allow a task to start; a pass was requested and has not been carried out yet. */
	isScheduleDue: boolean;
	pace: SchedulerPace;
}>;

/** Answer to one start order. `unknown` means that none arrived, `zone-closed` that the order was not sent, since its worker's zone was closed after the decision. */
export type StartAnswer = Readonly<{
	task: TaskName;
	run: number;
	result: 'started' | 'no-room' | 'unhealthy' | 'too-late' | 'run-too-low' | 'superseded' | 'invalid' | 'zone-closed' | 'unknown';
}>;

/** A worker's incarnation left, or another one replaced it; `ended` holds ends that may not have been reported. */
export type IncarnationEnd = WorkerIncarnation & Readonly<{kind: 'incarnation-ended'; agent: AgentName; ending: 'left' | 'replaced'; ended: readonly EndedRun[]}>;

export type SchedulerMessage =
	| Readonly<{kind: 'configured'; configuration: SchedulingConfiguration}>
	/** Stored jobs and progress, loaded at the takeover. */
	| Readonly<{kind: 'loaded'; jobs: readonly LoadedJob[]; workers: readonly UsedWorker[]}>
	/** A newer list of the closed zones. A new scheduler receives one that was read in its term before `loaded`. */
	| Readonly<{kind: 'zones-observed'; zones: ClosedZones}>
	| Readonly<{kind: 'submitted'; submission: JobSubmission}>
	| Readonly<{kind: 'cancelled'; job: JobKey}>
	/** A renewal of an agent. Without a snapshot it shows that the agent is alive, and nothing about its worker. */
	| Readonly<{kind: 'renewed'; agent: AgentName; process?: string; snapshot: WorkerSnapshot | undefined}>
	| IncarnationEnd
	| Readonly<{kind: 'detached'; agent: AgentName}>
	| Readonly<{kind: 'start-answered'; agent: AgentName; answers: readonly StartAnswer[]}>
	/** Stops that an incarnation of the worker confirmed; a run that it never had counts as stopped. */
	| Readonly<{kind: 'stop-answered'; agent: AgentName; incarnation: string; orders: readonly StopOrder[]}>
	| Readonly<{kind: 'stored'; job: JobKey; version: number; keyVersion: number}>
	| Readonly<{kind: 'tick'}>
	/** Until then no other scheduler can have begun. Sent before each tick. */
	| Readonly<{kind: 'lease-confirmed'; until: MonotonicTime}>
	/** Carries out the scheduling pass that an effect requested. */
	| Readonly<{kind: 'pass'}>;

export type LoadedJob = Readonly<{submission: JobSubmission; isCancelled: boolean; progress: JobProgress | undefined; keyVersion: number}>;

export type StartOrder = Readonly<{task: TaskName; run: number; checkpoint: string}>;
export type StopOrder = Readonly<{task: TaskName; run: number}>;

export type SchedulerEffect =
	/** A pass is due; changes that arrive before it share it. */
	| Readonly<{kind: 'request-pass'}>
	| Readonly<{kind: 'start'; agent: AgentName; incarnation: string; job: JobKey; specification: string; orders: readonly StartOrder[]}>
	| Readonly<{kind: 'stop'; agent: AgentName; incarnation: string; orders: readonly StopOrder[]}>
	| Readonly<{kind: 'store-progress'; job: JobKey}>
	/** More ends are stored; the agent should receive the acknowledgement soon. */
	| Readonly<{kind: 'acknowledge'; agent: AgentName}>
	/** Removes the records of a job if its progress still has the given version. */
	| Readonly<{kind: 'remove-records'; job: JobKey; keyVersion: number}>
	| Readonly<{kind: 'log'; event: string; fields: Readonly<Record<string, unknown>>}>;

/** Number of jobs of which no task has begun on a worker, by queue. */
export type PendingCounts = ReadonlyMap<QueueName, number>;

