/** Messages between entries and the agents beside workers, and between entries, that serve jobs of steps. */
import * as valibot from 'valibot';
import {countSchema, entryIdSchema, workerIdSchema} from '#core';
import {
	jobRequestSchema, schedulingConfigurationSchema, taskNameSchema, workerSnapshotSchema,
} from '#jobs';

const workerIncarnationSchema = valibot.pipe(valibot.object({worker: workerIdSchema, incarnation: valibot.string()}), valibot.readonly());
/** The entry that schedules, by what the sender knows. */
const schedulerReferenceSchema = valibot.pipe(valibot.object({address: valibot.string(), epoch: countSchema}), valibot.readonly());
export type SchedulerReference = valibot.InferOutput<typeof schedulerReferenceSchema>;
const addressesSchema = valibot.pipe(valibot.array(valibot.string()), valibot.readonly());

export const attachParametersSchema = valibot.object({agent: valibot.string(), process: valibot.string()});
export const attachResultSchema = valibot.object({
	entry: entryIdSchema,
	/** Peer addresses of all known entries. */
	entries: addressesSchema,
	/** Epoch of the scheduler that this entry knows; 0 if none. */
	epoch: countSchema,
	isScheduler: valibot.boolean(),
	scheduler: valibot.optional(schedulerReferenceSchema),
});

export const renewWorkerParametersSchema = valibot.object({
	agent: valibot.string(),
	/** Absent if nothing changed since the last renewal on this connection, or before the worker answered with the epoch. */
	snapshot: valibot.optional(workerSnapshotSchema),
	/** A life that ended in an orderly way. */
	left: valibot.optional(workerIncarnationSchema),
	/** Epoch that the snapshot was read with. */
	epoch: countSchema,
});
export const renewWorkerResultSchema = valibot.variant('kind', [
	valibot.object({
		kind: valibot.literal('granted'),
		epoch: countSchema,
		validityMilliseconds: valibot.number(),
		incarnation: valibot.optional(valibot.string()),
		notedEnd: countSchema,
	}),
	/** This entry does not schedule; the epoch is the highest that it knows. */
	valibot.object({
		kind: valibot.literal('not-scheduler'), epoch: countSchema, entries: addressesSchema, scheduler: valibot.optional(schedulerReferenceSchema),
	}),
]);

/** Tells an agent who schedules; the sender may be another entry. */
export const schedulerAnnouncementSchema = schedulerReferenceSchema;

export const startTasksParametersSchema = valibot.object({
	epoch: countSchema,
	incarnation: valibot.string(),
	specification: valibot.string(),
	orders: valibot.pipe(valibot.array(valibot.object({task: taskNameSchema, run: countSchema, checkpoint: valibot.string()})), valibot.readonly()),
});
export const startTasksResultSchema = valibot.object({
	answers: valibot.pipe(valibot.array(valibot.object({
		task: taskNameSchema,
		run: countSchema,
		result: valibot.picklist(['started', 'no-room', 'unhealthy', 'too-late', 'run-too-low', 'superseded', 'invalid', 'unknown']),
	})), valibot.readonly()),
	epoch: countSchema,
});

export const stopTasksParametersSchema = valibot.object({
	epoch: countSchema,
	incarnation: valibot.string(),
	orders: valibot.pipe(valibot.array(valibot.object({task: taskNameSchema, run: countSchema})), valibot.readonly()),
});
export const stopTasksResultSchema = valibot.object({
	/** Stops that the worker answered. */
	confirmed: valibot.pipe(valibot.array(valibot.object({task: taskNameSchema, run: countSchema})), valibot.readonly()),
	epoch: countSchema,
});

export const entryExchangeParametersSchema = valibot.object({
	entry: entryIdSchema,
	/** Version of the configuration that the sender has; 0 if none. */
	configurationVersion: valibot.number(),
	/** Sent when the receiver is known to have an older one. */
	configuration: valibot.optional(schedulingConfigurationSchema),
	/** Highest epoch that the sender knows. */
	epoch: countSchema,
	/** Paths of submissions whose outcome is unknown. */
	undecided: valibot.pipe(valibot.array(valibot.string()), valibot.readonly()),
});
export const entryExchangeResultSchema = valibot.object({
	configurationVersion: valibot.number(),
	configuration: valibot.optional(schedulingConfigurationSchema),
	epoch: countSchema,
	undecided: valibot.pipe(valibot.array(valibot.string()), valibot.readonly()),
});

/** A caller's request, decoded; the same for every front end. */
export const callerRequestSchema = valibot.object({
	host: valibot.string(),
	path: valibot.string(),
	apiKey: valibot.optional(valibot.string()),
	/** Time that the caller waits for the answer. */
	timeoutMilliseconds: valibot.number(),
	action: valibot.variant('kind', [
		valibot.object({kind: valibot.literal('submit'), request: jobRequestSchema}),
		valibot.object({kind: valibot.literal('show')}),
		valibot.object({kind: valibot.literal('cancel')}),
	]),
});
export type CallerRequest = Readonly<valibot.InferOutput<typeof callerRequestSchema>>;

export const callerAnswerSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('accepted')}),
	valibot.object({kind: valibot.literal('state'), state: valibot.picklist(['queued', 'running', 'completed', 'failed', 'cancelled'])}),
	valibot.object({kind: valibot.literal('pending'), count: countSchema}),
	valibot.object({kind: valibot.literal('cancelled')}),
	/** No such job. */
	valibot.object({kind: valibot.literal('absent')}),
	valibot.object({kind: valibot.literal('unknown-queue')}),
	valibot.object({kind: valibot.literal('unauthorized')}),
	valibot.object({kind: valibot.literal('invalid'), findings: valibot.pipe(valibot.array(valibot.object({place: valibot.string(), message: valibot.string()})), valibot.readonly())}),
	/** The request had no effect and never will. */
	valibot.object({kind: valibot.literal('refused'), reason: valibot.string(), retryAfterMilliseconds: valibot.number()}),
	/** It is not known whether the request had an effect. */
	valibot.object({kind: valibot.literal('undecided'), reason: valibot.string()}),
]);
export type CallerAnswer = Readonly<valibot.InferOutput<typeof callerAnswerSchema>>;

export const countPendingParametersSchema = valibot.object({queue: valibot.string()});
export const countPendingResultSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('counted'), count: countSchema}),
	valibot.object({kind: valibot.literal('not-scheduler')}),
]);

/** Keys of the store under which entries register. */
export const registeredEntriesPrefix = 'cluster/entries/';

export const registeredEntrySchema = valibot.object({entry: entryIdSchema, address: valibot.string(), zone: valibot.string()});
export type RegisteredEntry = Readonly<valibot.InferOutput<typeof registeredEntrySchema>>;
