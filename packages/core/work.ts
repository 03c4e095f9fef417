import * as valibot from 'valibot';
import {refusalReasonSchema, type RefusalReason} from './refusals.js';
import {
	incarnationSchema, jobIdSchema, planNameSchema, requestIdSchema, workerIdSchema, type Incarnation, type WorkerId,
} from './types.js';

/** A non-negative integer. */
export const countSchema = valibot.pipe(valibot.number(), valibot.safeInteger('must be a whole number'), valibot.minValue(0));
const timestampSchema = valibot.pipe(valibot.number(), valibot.minValue(0));
/** A duration in milliseconds. */
export const durationSchema = valibot.pipe(valibot.number(), valibot.minValue(0));

/** Class of work by observed service time. Long work may not use the slots reserved for short work. */
export const serviceClassSchema = valibot.picklist(['short', 'long']);
export type ServiceClass = valibot.InferOutput<typeof serviceClassSchema>;

/** Resources of one worker. */
export const workerCapacitySchema = valibot.object({
	slots: countSchema,
	connections: countSchema,
	processors: countSchema,
	memoryMegabytes: countSchema,
	accelerators: countSchema,
});
export type WorkerCapacity = Readonly<valibot.InferOutput<typeof workerCapacitySchema>>;

/** One incarnation of a worker's agent. Only this incarnation knows whether it ran a given identifier. */
export const placeSchema = valibot.object({worker: workerIdSchema, incarnation: incarnationSchema});
export type Place = Readonly<{worker: WorkerId; incarnation: Incarnation}>;

/** A caller's request as input to scheduling. */
export const requestWorkSchema = valibot.object({
	requestId: requestIdSchema,
	plan: planNameSchema,
	/** Name of the operation; service times are observed per plan and kind. Example: `roster`. */
	kind: valibot.pipe(valibot.string(), valibot.maxLength(64)),
	/** Whether running the request twice is harmless. */
	idempotent: valibot.boolean(),
	declaredMilliseconds: valibot.optional(durationSchema),
	/** Time after which the result has no value. */
	latestUsefulAt: valibot.optional(timestampSchema),
	payload: valibot.unknown(),
});
export type RequestWork = Readonly<valibot.InferOutput<typeof requestWorkSchema>>;

/** Result of a run of a request or task. A failed run counts as having run. */
export const runResultSchema = valibot.object({
	status: valibot.picklist(['succeeded', 'failed']),
	body: valibot.unknown(),
	serviceMilliseconds: durationSchema,
	queueMilliseconds: durationSchema,
});
export type RunResult = Readonly<valibot.InferOutput<typeof runResultSchema>>;

/** An agent's final answer about one request identifier. */
export const agentAnswerSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('ran'), result: runResultSchema}),
	valibot.object({
		kind: valibot.literal('refused'), reason: refusalReasonSchema, retryAfterMilliseconds: valibot.optional(durationSchema),
	}),
	/** Started, but the worker was lost or the task was interrupted, so its progress is unknown. */
	valibot.object({kind: valibot.literal('interrupted'), reason: refusalReasonSchema}),
]);
export type AgentAnswer = Readonly<valibot.InferOutput<typeof agentAnswerSchema>>;

/** Outcome of a request as reported to its caller. */
export type Outcome =
	| Readonly<{kind: 'completed'; result: RunResult}>
	| Readonly<{kind: 'not-run'; reason: RefusalReason; retryAfterMilliseconds?: number}>
	| Readonly<{kind: 'unknown'; reason: RefusalReason}>;

/** Shape of a gang: identical members that run together or not at all. */
export const gangShapeSchema = valibot.object({
	members: valibot.pipe(countSchema, valibot.minValue(1, 'must be at least 1'), valibot.maxValue(256, 'must be at most 256')),
	acceleratorsPerMember: valibot.pipe(countSchema, valibot.minValue(1, 'must be at least 1'), valibot.maxValue(64, 'must be at most 64')),
	/** The accelerators of one member are adjacent in one worker; all members are in the same worker, rack or zone. */
	adjacency: valibot.picklist(['worker', 'rack', 'zone']),
});
export type GangShape = Readonly<valibot.InferOutput<typeof gangShapeSchema>>;

/** A caller's job. */
export const jobWorkSchema = valibot.object({
	jobId: jobIdSchema,
	plan: planNameSchema,
	kind: valibot.pipe(valibot.string(), valibot.maxLength(64)),
	idempotent: valibot.boolean(),
	gang: gangShapeSchema,
	/** Whether the job may borrow accelerators that are guaranteed to other plans. */
	preemptible: valibot.boolean(),
	declaredMilliseconds: valibot.optional(durationSchema),
	latestUsefulAt: valibot.optional(timestampSchema),
	payload: valibot.unknown(),
});
export type JobWork = Readonly<valibot.InferOutput<typeof jobWorkSchema>>;
