/** Explanation of where a job would go now. */
import * as valibot from 'valibot';
import {workerIdSchema} from '#core';
import {
	jobRequestSchema, maximumRequestCharacters, queueNameSchema, taskNameSchema, tenantNameSchema,
} from '#jobs';
import {passedOverReasons, waitReasons} from '#scheduling';

const countSchema = valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(0));

/** A job that is not submitted, with its queue and its team. */
export const explainParametersSchema = valibot.strictObject({
	queue: queueNameSchema,
	tenant: valibot.optional(tenantNameSchema),
	job: valibot.pipe(
		jobRequestSchema,
		valibot.check(job => JSON.stringify(job).length <= maximumRequestCharacters, `must take at most ${maximumRequestCharacters} characters`),
	),
});
export type ExplainParameters = Readonly<valibot.InferOutput<typeof explainParametersSchema>>;

const timingSchema = valibot.pipe(valibot.object({start: valibot.number(), end: valibot.number()}), valibot.readonly());

const estimateSchema = valibot.variant('kind', [
	/** Nothing is estimated for such a job, or there is no recent forecast. */
	valibot.object({kind: valibot.literal('none')}),
	valibot.object({kind: valibot.literal('unknown'), reason: valibot.string()}),
	valibot.object({kind: valibot.literal('estimated'), optimistic: timingSchema, usual: timingSchema}),
]);
export type ExplainedEstimate = Readonly<valibot.InferOutput<typeof estimateSchema>>;

const admissionSchema = valibot.variant('kind', [
	/** `reason` is that of the forecast. */
	valibot.object({kind: valibot.literal('admitted'), reason: valibot.string(), estimate: estimateSchema}),
	valibot.object({
		kind: valibot.literal('refused'), reason: valibot.string(), retryAfterMilliseconds: valibot.number(), estimate: estimateSchema,
	}),
	/** The job could be held beside no other one. */
	valibot.object({kind: valibot.literal('too-large'), maximumTasks: countSchema}),
]);
export type ExplainedAdmission = Readonly<valibot.InferOutput<typeof admissionSchema>>;

const waitSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('none')}),
	valibot.object({kind: valibot.literal('waits'), tasks: countSchema, reason: valibot.picklist(waitReasons)}),
	valibot.object({
		kind: valibot.literal('stops-runs'), tasks: countSchema, runs: countSchema, examples: valibot.pipe(valibot.array(taskNameSchema), valibot.readonly()),
	}),
]);

const stepSchema = valibot.pipe(valibot.object({
	occurrence: countSchema,
	step: countSchema,
	tasks: countSchema,
	rank: countSchema,
	starting: countSchema,
	starts: valibot.pipe(valibot.array(valibot.object({worker: workerIdSchema, tasks: countSchema})), valibot.readonly()),
	wait: waitSchema,
	passedOver: valibot.pipe(valibot.array(valibot.object({
		reason: valibot.picklist(passedOverReasons), workers: countSchema, examples: valibot.pipe(valibot.array(workerIdSchema), valibot.readonly()),
	})), valibot.readonly()),
}), valibot.readonly());

const explanationSchema = valibot.object({
	kind: valibot.literal('explained'),
	/** The scheduler's entry. */
	entry: valibot.string(),
	admission: admissionSchema,
	placement: valibot.pipe(valibot.object({
		steps: countSchema,
		listed: valibot.pipe(valibot.array(stepSchema), valibot.readonly()),
		snapshot: valibot.object({
			configurationVersion: valibot.number(),
			zonesRevision: countSchema,
			workers: countSchema,
			oldestReportMilliseconds: valibot.optional(valibot.number()),
			newestReportMilliseconds: valibot.optional(valibot.number()),
		}),
	}), valibot.readonly()),
});
export type Explanation = Readonly<valibot.InferOutput<typeof explanationSchema>>;

export const explainResultSchema = valibot.variant('kind', [
	explanationSchema,
	valibot.object({kind: valibot.literal('unknown-queue')}),
	valibot.object({kind: valibot.literal('unknown-team')}),
	valibot.object({kind: valibot.literal('not-scheduler')}),
	/** The entry has explained another job just before. */
	valibot.object({kind: valibot.literal('limited'), retryAfterMilliseconds: valibot.number()}),
]);
export type ExplainResult = Readonly<valibot.InferOutput<typeof explainResultSchema>>;
export const explanationResponseSchema = explanationSchema;
