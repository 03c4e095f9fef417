/** Messages about jobs that consist of steps: between entries and agents, and between entries. */
import * as valibot from 'valibot';
import {
	addressSchema, countSchema, entryIdSchema, workerIdSchema,
} from '#core';
import {sharedForecastSchema} from '#forecast';
import {
	endedRunSchema, jobRequestSchema, taskNameSchema, workerSnapshotSchema,
} from '#jobs';

const endedIncarnationSchema = valibot.pipe(valibot.object({
	worker: workerIdSchema,
	incarnation: valibot.string(),
	ending: valibot.optional(valibot.picklist(['left', 'replaced']), 'left'),
	ended: valibot.optional(valibot.pipe(valibot.array(endedRunSchema), valibot.readonly()), []),
}), valibot.readonly());
export type EndedIncarnation = valibot.InferOutput<typeof endedIncarnationSchema>;
/** The scheduler known to the sender. */
const schedulerReferenceSchema = valibot.pipe(valibot.object({address: addressSchema, epoch: countSchema}), valibot.readonly());
export type SchedulerReference = valibot.InferOutput<typeof schedulerReferenceSchema>;
const addressesSchema = valibot.pipe(valibot.array(valibot.string()), valibot.readonly());

export const attachParametersSchema = valibot.object({agent: valibot.string(), process: valibot.string()});
export const attachResultSchema = valibot.object({
	entry: entryIdSchema,
	/** Peer addresses of all known entries. */
	entries: addressesSchema,
	/** Epoch of the scheduler known to this entry; 0 if none. */
	epoch: countSchema,
	isScheduler: valibot.boolean(),
	scheduler: valibot.optional(schedulerReferenceSchema),
});

export const renewWorkerParametersSchema = valibot.object({
	agent: valibot.string(),
	/** Absent if the receiver is not the scheduler, and until the worker has confirmed the epoch. */
	snapshot: valibot.optional(workerSnapshotSchema),
	/** A worker incarnation that ended, and the ends that it listed last. Agents of earlier versions report departures only. */
	left: valibot.optional(endedIncarnationSchema),
	/** Epoch with which the snapshot was read. */
	epoch: countSchema,
});
export const renewWorkerResultSchema = valibot.variant('kind', [
	valibot.object({
		kind: valibot.literal('granted'),
		epoch: countSchema,
		/** How long leases may be extended, from when the renewal was sent; 0 if it reported no worker. */
		validityMilliseconds: valibot.number(),
		incarnation: valibot.optional(valibot.string()),
		/** Highest number up to which the progress of every ended run is stored. */
		notedEnd: countSchema,
	}),
	/** This entry is not the scheduler; the epoch is the highest it knows. */
	valibot.object({
		kind: valibot.literal('not-scheduler'), epoch: countSchema, entries: addressesSchema, scheduler: valibot.optional(schedulerReferenceSchema),
	}),
]);

/** Announces the scheduler to an agent; the sender may be another entry. */
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
	/** Stops confirmed by the worker. */
	confirmed: valibot.pipe(valibot.array(valibot.object({task: taskNameSchema, run: countSchema})), valibot.readonly()),
	epoch: countSchema,
});

/** Milliseconds since the last attempt of each submission in `undecided`; entries of earlier versions send none. */
const undecidedAgesSchema = valibot.optional(valibot.pipe(valibot.array(valibot.number()), valibot.readonly()), []);

/** Time since a submission was last left out of the list; absent if it is whole. */
const undecidedCutAgeSchema = valibot.optional(valibot.number());

/** Memory that the sender's scheduler needs for its jobs. */
const sharedMemoryUseSchema = valibot.pipe(valibot.object({
	total: valibot.number(),
	freedPerSecond: valibot.number(),
	/** The tenants that need most. */
	tenants: valibot.pipe(valibot.array(valibot.pipe(valibot.object({name: valibot.string(), bytes: valibot.number()}), valibot.readonly())), valibot.readonly()),
}), valibot.readonly());
export type SharedMemoryUse = valibot.InferOutput<typeof sharedMemoryUseSchema>;

/** Closed zones as the sender knows them. */
const sharedZonesSchema = valibot.pipe(valibot.object({
	/** Store revision of the list. */
	revision: countSchema,
	closed: valibot.pipe(valibot.array(valibot.pipe(valibot.object({
		zone: valibot.string(),
		revision: countSchema,
		/** For how long the sender has known the zone to be closed. */
		closedMilliseconds: valibot.number(),
	}), valibot.readonly())), valibot.readonly()),
}), valibot.readonly());
export type SharedZones = valibot.InferOutput<typeof sharedZonesSchema>;

export const entryExchangeParametersSchema = valibot.object({
	entry: entryIdSchema,
	/** Version of the sender's configuration; 0 if none. */
	configurationVersion: valibot.number(),
	/** Highest epoch known to the sender. */
	epoch: countSchema,
	/** Paths of submissions with an unknown outcome. */
	undecided: valibot.pipe(valibot.array(valibot.string()), valibot.readonly()),
	undecidedAges: undecidedAgesSchema,
	undecidedCutAge: undecidedCutAgeSchema,
	/** Absent if the sender does not schedule, and in exchanges of earlier versions. */
	memoryUse: valibot.optional(sharedMemoryUseSchema),
	/** Absent until the sender has read the list, and in exchanges of earlier versions. */
	closedZones: valibot.optional(sharedZonesSchema),
	/** Absent if the sender does not schedule or has no forecast, and in exchanges of earlier versions. */
	forecast: valibot.optional(sharedForecastSchema),
});
export const entryExchangeResultSchema = valibot.object({
	configurationVersion: valibot.number(),
	epoch: countSchema,
	undecided: valibot.pipe(valibot.array(valibot.string()), valibot.readonly()),
	undecidedAges: undecidedAgesSchema,
	undecidedCutAge: undecidedCutAgeSchema,
	memoryUse: valibot.optional(sharedMemoryUseSchema),
	closedZones: valibot.optional(sharedZonesSchema),
	/** Absent if the sender does not schedule or has no forecast, and in exchanges of earlier versions. */
	forecast: valibot.optional(sharedForecastSchema),
});

/** The configuration of the entry that is asked, compressed and in base64; absent if it has none. */
export const fetchConfigurationResultSchema = valibot.object({encoded: valibot.optional(valibot.string())});

/** A scheduler that cannot reach the store asks whether the receiver can. */
export const checkStoreResultSchema = valibot.object({canSchedule: valibot.boolean()});

/** A scheduler ended its term and asks the receiver to begin the next one. */
export const takeOverParametersSchema = valibot.object({
	epoch: countSchema,
	/** Version of the leader record that the receiver replaces. */
	leaderVersion: countSchema,
});

/** A caller's decoded request, independent of the front end. */
export const callerRequestSchema = valibot.object({
	host: valibot.string(),
	path: valibot.string(),
	apiKey: valibot.optional(valibot.string()),
	/** Time for which the caller waits for the answer. */
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
	/** The job does not exist. */
	valibot.object({kind: valibot.literal('absent')}),
	/** The job was cancelled before this submission of it was processed, and never runs. */
	valibot.object({kind: valibot.literal('withdrawn')}),
	valibot.object({kind: valibot.literal('unknown-queue')}),
	valibot.object({kind: valibot.literal('unauthorized')}),
	valibot.object({kind: valibot.literal('invalid'), findings: valibot.pipe(valibot.array(valibot.object({place: valibot.string(), message: valibot.string()})), valibot.readonly())}),
	/** The request had no effect and will have none. */
	valibot.object({kind: valibot.literal('refused'), reason: valibot.string(), retryAfterMilliseconds: valibot.number()}),
	/** Whether the request had an effect is unknown. */
	valibot.object({kind: valibot.literal('undecided'), reason: valibot.string()}),
]);
export type CallerAnswer = Readonly<valibot.InferOutput<typeof callerAnswerSchema>>;

/** A call that is forwarded to another entry, which answers it only by the version that the sender names. So the sender knows which version its callers may see before they do. */
export const forwardedCallSchema = valibot.object({
	...callerRequestSchema.entries,
	/** Newest version that callers of the sender may have seen; absent from earlier releases. */
	configurationVersion: valibot.optional(valibot.number()),
});
export type ForwardedCall = Readonly<valibot.InferOutput<typeof forwardedCallSchema>>;

export const forwardedAnswerSchema = valibot.variant('kind', [
	...callerAnswerSchema.options,
	/** The receiver answers by another version than the call names, and did nothing. */
	valibot.object({kind: valibot.literal('other-configuration'), version: valibot.number()}),
]);
export type ForwardedAnswer = Readonly<valibot.InferOutput<typeof forwardedAnswerSchema>>;

export const countPendingParametersSchema = valibot.object({queue: valibot.string()});
export const countPendingResultSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('counted'), count: countSchema}),
	valibot.object({kind: valibot.literal('not-scheduler')}),
]);

export const showZonesResultSchema = valibot.variant('kind', [
	valibot.object({
		kind: valibot.literal('shown'),
		zones: valibot.array(valibot.object({
			zone: valibot.string(),
			workers: countSchema,
			runs: countSchema,
			/** The first of the runs. */
			listed: valibot.array(valibot.object({
				task: taskNameSchema, run: countSchema, worker: workerIdSchema, stage: valibot.picklist(['starting', 'running', 'stopping']), percent: valibot.number(),
			})),
		})),
	}),
	valibot.object({kind: valibot.literal('not-scheduler')}),
]);
export type ShowZonesResult = Readonly<valibot.InferOutput<typeof showZonesResultSchema>>;

/** Prefix of the store keys under which entries register. */
export const registeredEntriesPrefix = 'cluster/entries/';

export const registeredEntrySchema = valibot.object({entry: entryIdSchema, address: addressSchema, zone: valibot.string()});
export type RegisteredEntry = Readonly<valibot.InferOutput<typeof registeredEntrySchema>>;
