/** Jobs and their steps, the queues that accept them, and their stored records and progress. */
import * as valibot from 'valibot';
import {countSchema, workerIdSchema} from '#core';

const textSchema = valibot.pipe(valibot.string(), valibot.minLength(1), valibot.maxLength(200));

/** Identifier that the caller assigns to a job: 16 hexadecimal digits. */
export const jobKeySchema = valibot.pipe(valibot.string(), valibot.regex(/^[\da-f]{16}$/, 'must be 16 hexadecimal digits'), valibot.brand('JobKey'));
export type JobKey = valibot.InferOutput<typeof jobKeySchema>;

export const queueNameSchema = valibot.pipe(textSchema, valibot.brand('QueueName'));
export type QueueName = valibot.InferOutput<typeof queueNameSchema>;

export const tenantNameSchema = valibot.pipe(textSchema, valibot.brand('TenantName'));
export type TenantName = valibot.InferOutput<typeof tenantNameSchema>;

export const serviceNameSchema = valibot.pipe(textSchema, valibot.brand('ServiceName'));
export type ServiceName = valibot.InferOutput<typeof serviceNameSchema>;

/** Name of a task: job, occurrence, step and index, joined by dots. */
export const taskNameSchema = valibot.pipe(valibot.string(), valibot.regex(/^[\da-f]{16}(?:\.\d+){3}$/, 'must name a task'), valibot.brand('TaskName'));
export type TaskName = valibot.InferOutput<typeof taskNameSchema>;

export const stepSchema = valibot.pipe(valibot.object({
	/** Number of tasks. */
	count: valibot.pipe(countSchema, valibot.minValue(1), valibot.maxValue(10_000)),
	/** Processor time that a task needs, in thousandths of a core. */
	processorMillicores: countSchema,
	memoryMegabytes: countSchema,
	accelerators: countSchema,
	/** The caller's rough estimate of a task's duration. */
	estimatedMilliseconds: valibot.number(),
	/** Indexes of the steps whose tasks must all be done before a task of this step starts. */
	after: valibot.pipe(valibot.array(countSchema), valibot.readonly()),
	/** Whether the tasks save checkpoints of their progress. */
	isCheckpointing: valibot.boolean(),
	/** Whether the tasks make progress only while all of them run. */
	isGang: valibot.boolean(),
	/** Whether the tasks run slower unless all of them are in one rack. */
	prefersOneRack: valibot.boolean(),
	/** Label that a worker must have to run the tasks. */
	requiredLabel: valibot.optional(valibot.string()),
	/** Rack that holds the data; tasks run slower in other racks. */
	dataRack: valibot.optional(valibot.string()),
	/** Image that the tasks run; tasks of one image are of one kind. */
	image: valibot.optional(valibot.string()),
	/** Maximum number of tasks of one occurrence on one worker; 0 means unlimited. */
	maximumPerWorker: countSchema,
	/** Whether the tasks run until the job is cancelled. */
	isLongRunning: valibot.boolean(),
	/** Whether the tasks use only processor time that others leave unused. */
	isFilling: valibot.boolean(),
	/** Maximum number of tasks of a long-running step that planned actions may stop at the same time. */
	maximumUnavailable: countSchema,
}), valibot.readonly());
export type JobStep = valibot.InferOutput<typeof stepSchema>;

/** Occurrence `k` of a scheduled job is due at `firstRunAt + k * intervalMilliseconds`. */
export const scheduleSchema = valibot.pipe(valibot.object({
	firstRunAt: valibot.number(),
	intervalMilliseconds: valibot.number(),
	occurrences: valibot.pipe(countSchema, valibot.minValue(1), valibot.maxValue(1000)),
}), valibot.readonly());
export type Schedule = valibot.InferOutput<typeof scheduleSchema>;

/** Number of tasks over all steps and occurrences of a job. The scheduler holds those of open occurrences in memory, at 0.85 KB each. */
export const maximumTasksPerJob = 20_000;

/** Job as requested by the caller. */
export const jobRequestSchema = valibot.pipe(
	valibot.object({
		specification: valibot.pipe(valibot.string(), valibot.maxLength(4000)),
		steps: valibot.pipe(valibot.pipe(valibot.array(stepSchema), valibot.minLength(1), valibot.maxLength(100)), valibot.readonly()),
		schedule: valibot.optional(scheduleSchema),
	}),
	valibot.check(
		({steps, schedule}) => steps.reduce((total, {count}) => total + count, 0) * (schedule?.occurrences ?? 1) <= maximumTasksPerJob,
		`must have at most ${maximumTasksPerJob} tasks over all steps and occurrences`,
	),
	valibot.readonly(),
);
export type JobRequest = valibot.InferOutput<typeof jobRequestSchema>;

export const queueSchema = valibot.pipe(valibot.object({
	name: queueNameSchema,
	/** Host name at which callers reach the queue. */
	host: valibot.string(),
	/** Path prefix at which callers reach the queue; the longest match wins. */
	pathPrefix: valibot.string(),
	/** Service of the workers that run the queue's tasks. */
	service: serviceNameSchema,
	/** 0 is the highest priority. Jobs of priority 0 or 1 may preempt those of a lower priority. */
	priority: countSchema,
	/** Number of failures of one task after which its job fails. */
	maximumAttempts: valibot.pipe(countSchema, valibot.minValue(1)),
	/** A job is on time if it takes at most `stretch` times its longest chain of steps plus the target duration. */
	stretch: valibot.number(),
	targetMilliseconds: valibot.number(),
	isPublic: valibot.boolean(),
}), valibot.readonly());
export type Queue = valibot.InferOutput<typeof queueSchema>;

export const tenantSchema = valibot.pipe(valibot.object({
	name: tenantNameSchema,
	apiKeys: valibot.pipe(valibot.array(valibot.string()), valibot.readonly()),
	/** Accelerators that are always available to the tenant's jobs of priority 0. */
	guaranteedAccelerators: countSchema,
}), valibot.readonly());
export type Tenant = valibot.InferOutput<typeof tenantSchema>;

/** Queues and tenants that the operators configured; `version` only increases. */
export const schedulingConfigurationSchema = valibot.pipe(valibot.object({
	version: valibot.number(),
	queues: valibot.pipe(valibot.array(queueSchema), valibot.readonly()),
	tenants: valibot.pipe(valibot.array(tenantSchema), valibot.readonly()),
}), valibot.readonly());
export type SchedulingConfiguration = valibot.InferOutput<typeof schedulingConfigurationSchema>;

/** A job as stored on acceptance; immutable. */
export const jobSubmissionSchema = valibot.pipe(valibot.object({
	job: jobKeySchema,
	/** The queue at the time of acceptance; used if the queue is removed later. */
	queue: queueSchema,
	tenant: valibot.optional(tenantNameSchema),
	submittedAt: valibot.number(),
	request: jobRequestSchema,
}), valibot.readonly());
export type JobSubmission = valibot.InferOutput<typeof jobSubmissionSchema>;

/**
Stored value of a job's key.

- `accepted`: the job.
- `refused`: one submission was refused; prevents its delayed write, and may be replaced by a retry of the caller.
- `withdrawn`: the job was cancelled before it was accepted; no submission replaces it.
*/
export const jobRecordSchema = valibot.variant('kind', [
	valibot.pipe(valibot.object({kind: valibot.literal('accepted'), submission: jobSubmissionSchema}), valibot.readonly()),
	valibot.pipe(valibot.object({kind: valibot.literal('refused'), refusedAt: valibot.number()}), valibot.readonly()),
	valibot.pipe(valibot.object({kind: valibot.literal('withdrawn'), withdrawnAt: valibot.number()}), valibot.readonly()),
]);
export type JobRecord = valibot.InferOutput<typeof jobRecordSchema>;

export const jobOutcomeSchema = valibot.picklist(['running', 'completed', 'failed', 'cancelled']);
export type JobOutcome = valibot.InferOutput<typeof jobOutcomeSchema>;

/** A crash of the worker on which a task ran. */
export const taskCrashSchema = valibot.pipe(valibot.object({
	/** Number of the run. */
	run: valibot.number(),
	/** Whether the run had made progress; one that crashes its worker at the start has not. */
	hadProgress: valibot.boolean(),
}), valibot.readonly());
export type TaskCrash = valibot.InferOutput<typeof taskCrashSchema>;

/** Stored progress of one task. */
export const taskProgressSchema = valibot.pipe(valibot.object({
	isDone: valibot.optional(valibot.boolean()),
	/** Numbers of the failed runs; each counts once, however often it is reported. */
	failedRuns: valibot.optional(valibot.pipe(valibot.array(valibot.number()), valibot.readonly())),
	checkpoint: valibot.optional(valibot.string()),
	/** Percentage at which the checkpoint was first reported; absent in records of earlier versions. */
	checkpointPercent: valibot.optional(valibot.number()),
	crashes: valibot.optional(valibot.pipe(valibot.array(taskCrashSchema), valibot.readonly())),
}), valibot.readonly());
export type TaskProgress = valibot.InferOutput<typeof taskProgressSchema>;

/** Indexes in ascending ranges, such as `0-2,5`. */
const rangesSchema = valibot.pipe(valibot.string(), valibot.regex(/^(?:\d+(?:-\d+)?(?:,\d+(?:-\d+)?)*)?$/, 'must be ranges of indexes'));

/** Stored progress of a job that has started; written only by the scheduler. */
export const jobProgressSchema = valibot.pipe(valibot.object({
	outcome: jobOutcomeSchema,
	/** By task name without the job. Tasks without progress are omitted, and those that are done if `done` lists them. */
	tasks: valibot.pipe(valibot.record(valibot.string(), taskProgressSchema), valibot.readonly()),
	/** Indexes of the tasks that are done, as ranges, by occurrence and step (`3.0`). Only jobs of many tasks have it. */
	done: valibot.optional(valibot.pipe(valibot.record(valibot.string(), rangesSchema), valibot.readonly())),
	/** Occurrences that have begun: those below `next`, of which all but the open ones are done. Absent if the tasks show it. */
	occurrences: valibot.optional(valibot.pipe(valibot.object({
		next: countSchema,
		open: valibot.pipe(valibot.array(countSchema), valibot.readonly()),
	}), valibot.readonly())),
	/** When the job ended. */
	endedAt: valibot.optional(valibot.number()),
	/** Agents to whose workers runs of the job were or are about to be ordered. Absent in records of earlier versions, whose runs may be anywhere. */
	agents: valibot.optional(valibot.pipe(valibot.array(valibot.string()), valibot.readonly())),
}), valibot.readonly());
export type JobProgress = valibot.InferOutput<typeof jobProgressSchema>;

/** State of a job as reported to callers. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

export type Resources = Readonly<{processorMillicores: number; memoryMegabytes: number; accelerators: number}>;

export const resourcesSchema = valibot.pipe(valibot.object({
	processorMillicores: valibot.number(),
	memoryMegabytes: valibot.number(),
	accelerators: valibot.number(),
}), valibot.readonly());

/** How a run ended on its worker. */
export const runEndings = ['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'] as const;
export type RunEnding = typeof runEndings[number];

/** A run that a worker reports as running. */
export const reportedRunSchema = valibot.pipe(valibot.object({
	task: taskNameSchema,
	run: countSchema,
	/** Empty if there is none. */
	checkpoint: valibot.string(),
	/** Percentage of the work that is done, 0 to 100. */
	percent: valibot.number(),
}), valibot.readonly());
export type ReportedRun = valibot.InferOutput<typeof reportedRunSchema>;

/** The end of a run, which a worker lists until it is acknowledged. */
export const endedRunSchema = valibot.pipe(valibot.object({
	/** Sequence number among the ends of one incarnation, from 1. */
	number: countSchema,
	task: taskNameSchema,
	run: countSchema,
	ending: valibot.picklist(runEndings),
	checkpoint: valibot.string(),
}), valibot.readonly());
export type EndedRun = valibot.InferOutput<typeof endedRunSchema>;

/** A run that had made no progress when an earlier incarnation of the worker crashed. */
export const lostRunSchema = valibot.pipe(valibot.object({task: taskNameSchema, run: countSchema}), valibot.readonly());
export type LostRun = valibot.InferOutput<typeof lostRunSchema>;

/** A start that a worker did not answer and has not been seen to carry out. */
export const unansweredStartSchema = valibot.pipe(valibot.object({
	task: taskNameSchema,
	run: countSchema,
	/** How long the worker's identifier may still carry it out. */
	remainingMilliseconds: valibot.number(),
}), valibot.readonly());

/** What an agent knows of unanswered starts. */
export const unansweredStartsSchema = valibot.pipe(valibot.object({
	/** How far back the list goes; an agent that started again knows nothing of its earlier process. */
	knownForMilliseconds: valibot.number(),
	starts: valibot.pipe(valibot.array(unansweredStartSchema), valibot.readonly()),
}), valibot.readonly());
export type UnansweredStarts = valibot.InferOutput<typeof unansweredStartsSchema>;

/** What an agent knows of the calls by which it acknowledges ends to its worker. */
export const acknowledgementsSchema = valibot.pipe(valibot.object({
	/** Highest number that an answered call has acknowledged. */
	answeredEnd: countSchema,
	/** Whether calls acknowledge a higher number. */
	isPending: valibot.optional(valibot.boolean()),
	/** How long the worker's identifier may still carry out a call that was not answered; absent if there is none. */
	remainingMilliseconds: valibot.optional(valibot.number()),
}), valibot.readonly());
export type Acknowledgements = valibot.InferOutput<typeof acknowledgementsSchema>;

/** A worker as its agent reports it. */
export const workerSnapshotSchema = valibot.pipe(valibot.object({
	worker: workerIdSchema,
	/** Identifier of one run of the worker process; a restarted worker has a new one. */
	incarnation: valibot.string(),
	service: serviceNameSchema,
	zone: valibot.string(),
	labels: valibot.pipe(valibot.array(valibot.string()), valibot.readonly()),
	rack: valibot.string(),
	capacity: resourcesSchema,
	state: valibot.picklist(['ready', 'draining']),
	/** Minimum time until a draining worker leaves. */
	leavesInMilliseconds: valibot.optional(valibot.number()),
	/** How much longer the worker stays slow after its start. Absent once it is warm, and in reports of earlier versions. */
	coldForMilliseconds: valibot.optional(valibot.number()),
	/** Whether the worker answered its agent's last request. */
	isResponsive: valibot.boolean(),
	/** Whether the leases of all runs on the worker have certainly expired. */
	isLeaseOver: valibot.boolean(),
	running: valibot.pipe(valibot.array(reportedRunSchema), valibot.readonly()),
	ended: valibot.pipe(valibot.array(endedRunSchema), valibot.readonly()),
	/** Whether the worker may have ended further runs that it does not list yet. Agents of earlier versions do not tell. */
	areEndsCut: valibot.optional(valibot.boolean()),
	/** Reported for some time, since a scheduler may be lost before it has stored them. Absent in reports of earlier versions. */
	lost: valibot.optional(valibot.pipe(valibot.array(lostRunSchema), valibot.readonly()), []),
	/** Absent in reports of earlier versions. */
	unansweredStarts: valibot.optional(unansweredStartsSchema),
	/** Absent until an end was acknowledged, and in reports of earlier versions. */
	acknowledgements: valibot.optional(acknowledgementsSchema),
}), valibot.readonly());
export type WorkerSnapshot = valibot.InferOutput<typeof workerSnapshotSchema>;
