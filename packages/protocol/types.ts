/** Parameter and result schemas of the JSON-RPC methods between processes. */
import * as valibot from 'valibot';
import {
	countSchema, durationSchema, agentAnswerSchema, entryIdSchema, incarnationSchema, jobIdSchema, planNameSchema, rackNameSchema, refusalReasonSchema, regionNameSchema,
	requestIdSchema, requestWorkSchema, runResultSchema, serviceClassSchema, workerCapacitySchema, workerIdSchema, zoneNameSchema,
} from '#core';
import {configurationSchema} from '#configuration';

const acceleratorsSchema = valibot.pipe(valibot.array(countSchema), valibot.readonly());

/** The part of the configuration and layout that one agent enforces. */
export const sliceSchema = valibot.object({
	configurationRevision: countSchema,
	layoutRevision: countSchema,
	/** Accelerators of this worker that are guaranteed to a plan; all others are available to every plan. */
	cells: valibot.pipe(valibot.array(valibot.object({plan: planNameSchema, accelerators: acceleratorsSchema})), valibot.readonly()),
	/** Plans with weight and limits: all plans, or with `basis` those changed after that revision. */
	plans: valibot.pipe(valibot.array(valibot.object({
		plan: planNameSchema, weight: countSchema, maximumSlots: countSchema, maximumQueued: countSchema,
	})), valibot.readonly()),
	/** Configuration revision to which `plans` and `removedPlans` apply; absent if `plans` is complete. */
	basis: valibot.optional(countSchema),
	removedPlans: valibot.optional(valibot.pipe(valibot.array(planNameSchema), valibot.readonly())),
});
export type Slice = Readonly<valibot.InferOutput<typeof sliceSchema>>;

export const entryAddressSchema = valibot.object({entry: entryIdSchema, address: valibot.string()});
export type EntryAddress = Readonly<valibot.InferOutput<typeof entryAddressSchema>>;

/** Load of one agent, summed over all plans. */
export const agentLoadSchema = valibot.object({
	shortQueued: countSchema,
	shortRunning: countSchema,
	longQueued: countSchema,
	longRunning: countSchema,
	/** Runs that were started, and runs that did not succeed, since the agent started. */
	started: countSchema,
	failed: countSchema,
});
export type AgentLoad = Readonly<valibot.InferOutput<typeof agentLoadSchema>>;

/** Accelerators that one gang member holds on the worker. */
export const holdingSchema = valibot.object({
	job: jobIdSchema,
	attempt: countSchema,
	plan: planNameSchema,
	accelerators: acceleratorsSchema,
	preemptible: valibot.boolean(),
	/** Submission time of the job; the older of two gangs has precedence. */
	submittedAt: durationSchema,
});
export type Holding = Readonly<valibot.InferOutput<typeof holdingSchema>>;

export const announceParametersSchema = valibot.object({
	worker: workerIdSchema,
	incarnation: incarnationSchema,
	region: regionNameSchema,
	zone: zoneNameSchema,
	rack: rackNameSchema,
	capacity: workerCapacitySchema,
	load: agentLoadSchema,
	holdings: valibot.pipe(valibot.array(holdingSchema), valibot.readonly()),
	configurationRevision: countSchema,
	layoutRevision: countSchema,
	leaving: valibot.boolean(),
});
export type AnnounceParameters = Readonly<valibot.InferOutput<typeof announceParametersSchema>>;

export const announceResultSchema = valibot.object({
	entry: entryIdSchema,
	entries: valibot.pipe(valibot.array(entryAddressSchema), valibot.readonly()),
	slice: valibot.optional(sliceSchema),
});
export type AnnounceResult = Readonly<valibot.InferOutput<typeof announceResultSchema>>;

/** Sent every report interval on an announced connection. Fields unchanged since the last answered report are absent. */
export const reportParametersSchema = valibot.object({
	load: valibot.optional(agentLoadSchema),
	holdings: valibot.optional(valibot.pipe(valibot.array(holdingSchema), valibot.readonly())),
	configurationRevision: valibot.optional(countSchema),
	layoutRevision: valibot.optional(countSchema),
});
export type ReportParameters = Readonly<valibot.InferOutput<typeof reportParametersSchema>>;

/** The slice is present only if it is newer than the revisions that the agent reported. The entries are those of the agent's zone. */
export const reportResultSchema = valibot.object({
	slice: valibot.optional(sliceSchema),
	entries: valibot.optional(valibot.pipe(valibot.array(entryAddressSchema), valibot.readonly())),
});
export type ReportResult = Readonly<valibot.InferOutput<typeof reportResultSchema>>;

export const leavingParametersSchema = valibot.object({worker: workerIdSchema, incarnation: incarnationSchema});

/** Runs or queues a request. The result is the agent's final answer and may take as long as the work. */
export const runParametersSchema = valibot.object({
	work: requestWorkSchema,
	/** Expected incarnation; another one refuses with `stale-incarnation`. */
	incarnation: incarnationSchema,
	serviceClass: serviceClassSchema,
	estimatedMilliseconds: durationSchema,
});
export type RunParameters = Readonly<valibot.InferOutput<typeof runParametersSchema>>;

export const findParametersSchema = valibot.object({requestId: requestIdSchema});

/** State of one identifier in an agent's ledger. */
export const findResultSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('never-seen')}),
	valibot.object({kind: valibot.literal('queued')}),
	valibot.object({kind: valibot.literal('running')}),
	valibot.object({kind: valibot.literal('answered'), answer: agentAnswerSchema}),
]);
export type FindResult = Readonly<valibot.InferOutput<typeof findResultSchema>>;

/** Withdraws a request by identifier. `withdrawn` guarantees that it did not start and never will on this incarnation. */
export const withdrawParametersSchema = valibot.object({requestId: requestIdSchema, incarnation: incarnationSchema});
export const withdrawResultSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('withdrawn')}),
	valibot.object({kind: valibot.literal('running')}),
	valibot.object({kind: valibot.literal('answered'), answer: agentAnswerSchema}),
]);
export type WithdrawResult = Readonly<valibot.InferOutput<typeof withdrawResultSchema>>;

/** One attempt of a gang on a worker; an attempt lower than the highest seen is refused with `stale-attempt`. */
export const gangReferenceSchema = valibot.object({job: jobIdSchema, attempt: countSchema});
export type GangReference = Readonly<valibot.InferOutput<typeof gangReferenceSchema>>;

export const reserveParametersSchema = valibot.object({
	...gangReferenceSchema.entries,
	plan: planNameSchema,
	submittedAt: durationSchema,
	preemptible: valibot.boolean(),
	/** Members on this worker, each with its accelerators. */
	members: valibot.pipe(valibot.array(valibot.object({member: countSchema, accelerators: acceleratorsSchema})), valibot.minLength(1), valibot.readonly()),
	leaseMilliseconds: durationSchema,
});
export type ReserveParameters = Readonly<valibot.InferOutput<typeof reserveParametersSchema>>;

/** `reclaiming` means that borrowers were ordered to checkpoint; retry after the given time. */
export const gangAnswerSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('accepted')}),
	valibot.object({kind: valibot.literal('reclaiming'), retryAfterMilliseconds: durationSchema}),
	valibot.object({kind: valibot.literal('refused'), reason: refusalReasonSchema}),
]);
export type GangAnswer = Readonly<valibot.InferOutput<typeof gangAnswerSchema>>;

export const commitParametersSchema = valibot.object({...gangReferenceSchema.entries, leaseMilliseconds: durationSchema});
export type CommitParameters = Readonly<valibot.InferOutput<typeof commitParametersSchema>>;

/** Checkpoints by member number. */
export const checkpointsSchema = valibot.record(valibot.string(), valibot.unknown());
export type Checkpoints = Readonly<valibot.InferOutput<typeof checkpointsSchema>>;

export const startParametersSchema = valibot.object({
	...gangReferenceSchema.entries,
	kind: valibot.string(),
	payload: valibot.unknown(),
	/** Checkpoints of an earlier attempt, as returned by the workers. */
	checkpoints: valibot.optional(checkpointsSchema, {}),
	leaseMilliseconds: durationSchema,
});
export type StartParameters = Readonly<valibot.InferOutput<typeof startParametersSchema>>;

/** Renews several gang leases of an agent in one message; the result lists those that the agent no longer holds. */
export const renewParametersSchema = valibot.object({
	gangs: valibot.pipe(valibot.array(valibot.object({
		...gangReferenceSchema.entries,
		/** Higher attempt assigned to the running gang by an entry that adopted the job, so that messages of the former owner become stale. */
		raiseTo: valibot.optional(countSchema),
	})), valibot.readonly()),
	leaseMilliseconds: durationSchema,
});
export type RenewParameters = Readonly<valibot.InferOutput<typeof renewParametersSchema>>;
export const renewResultSchema = valibot.object({
	lapsed: valibot.pipe(valibot.array(gangReferenceSchema), valibot.readonly()),
	/** Gangs whose members on this worker have all finished; the owner queries results that it has not received. */
	ended: valibot.pipe(valibot.array(gangReferenceSchema), valibot.readonly()),
});
export type RenewResult = Readonly<valibot.InferOutput<typeof renewResultSchema>>;

export const stopParametersSchema = valibot.object({...gangReferenceSchema.entries, mode: valibot.picklist(['checkpoint', 'stop'])});
export type StopParameters = Readonly<valibot.InferOutput<typeof stopParametersSchema>>;

/** `never-started` guarantees that no member of this or an earlier attempt started or will start on this incarnation. */
export const stopResultSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('never-started')}),
	valibot.object({kind: valibot.literal('stopped'), checkpoints: checkpointsSchema}),
	valibot.object({kind: valibot.literal('finished')}),
]);
export type StopResult = Readonly<valibot.InferOutput<typeof stopResultSchema>>;

export const memberStateSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('reserved')}),
	valibot.object({kind: valibot.literal('committed')}),
	valibot.object({kind: valibot.literal('running')}),
	valibot.object({kind: valibot.literal('finished'), result: runResultSchema}),
	valibot.object({
		kind: valibot.literal('stopped'), started: valibot.boolean(), reason: refusalReasonSchema, checkpoint: valibot.optional(valibot.unknown()),
	}),
]);
export type MemberState = Readonly<valibot.InferOutput<typeof memberStateSchema>>;

export const gangFindParametersSchema = valibot.object({job: jobIdSchema});
export const gangFindResultSchema = valibot.object({
	/** Highest attempt seen; 0 if the job is unknown to this incarnation. */
	attempt: countSchema,
	members: valibot.pipe(valibot.array(valibot.object({member: countSchema, state: memberStateSchema})), valibot.readonly()),
});
export type GangFindResult = Readonly<valibot.InferOutput<typeof gangFindResultSchema>>;

/** Sent by an agent when a member has ended, and repeated until answered. */
export const endedParametersSchema = valibot.object({
	...gangReferenceSchema.entries,
	worker: workerIdSchema,
	member: countSchema,
	state: memberStateSchema,
});
export type EndedParameters = Readonly<valibot.InferOutput<typeof endedParametersSchema>>;

/** A request that the sender's zone cannot serve. */
export const forwardParametersSchema = valibot.object({work: requestWorkSchema, from: entryIdSchema, hops: countSchema});
export type ForwardParameters = Readonly<valibot.InferOutput<typeof forwardParametersSchema>>;

export const zoneSummarySchema = valibot.object({
	region: regionNameSchema,
	zone: zoneNameSchema,
	workers: countSchema,
	freeSlots: countSchema,
	queued: countSchema,
	freeAccelerators: countSchema,
});
export type ZoneSummary = Readonly<valibot.InferOutput<typeof zoneSummarySchema>>;

/** Identity and addresses of an entry as known to other entries. */
export const entryRecordSchema = valibot.object({
	entry: entryIdSchema,
	region: regionNameSchema,
	zone: zoneNameSchema,
	/** `host:port` for agents and other entries. */
	peerAddress: valibot.string(),
	/** `host:port` for callers and operators. */
	callerAddress: valibot.string(),
});
export type EntryRecord = Readonly<valibot.InferOutput<typeof entryRecordSchema>>;

export const peerExchangeParametersSchema = valibot.object({
	/** The sender. */
	record: entryRecordSchema,
	configurationRevision: countSchema,
	summary: zoneSummarySchema,
	/** Entries known to the sender; present in the first exchange of a connection. */
	records: valibot.optional(valibot.pipe(valibot.array(entryRecordSchema), valibot.readonly())),
	/** Whether the answer is to carry a newer configuration. */
	wantsConfiguration: valibot.optional(valibot.boolean(), true),
});
export type PeerExchangeParameters = Readonly<valibot.InferOutput<typeof peerExchangeParametersSchema>>;

/** The configuration is present only if it is newer than the sender's and the sender wants it. */
export const peerExchangeResultSchema = valibot.object({
	/** The responding entry. */
	record: entryRecordSchema,
	configurationRevision: countSchema,
	configuration: valibot.optional(configurationSchema),
	summary: zoneSummarySchema,
	/** Entries known to the responding entry; present if the sender included its own. */
	records: valibot.optional(valibot.pipe(valibot.array(entryRecordSchema), valibot.readonly())),
});
export type PeerExchangeResult = Readonly<valibot.InferOutput<typeof peerExchangeResultSchema>>;

export const emptySchema = valibot.object({});
