/** The operators' two lists: plans, and what each plan may use. */
import * as valibot from 'valibot';
import {planNameSchema, zoneNameSchema} from '#core';
import {maximumCellAccelerators, maximumPlans} from './constants.js';

const countSchema = valibot.pipe(valibot.number(), valibot.integer('must be a whole number'), valibot.minValue(0, 'must not be negative'));
const positiveCountSchema = valibot.pipe(countSchema, valibot.minValue(1, 'must be at least 1'));

/** How close the accelerators of one cell must be: within one worker, one rack or one availability zone. */
export const adjacencySchema = valibot.picklist(['worker', 'rack', 'zone']);
export type Adjacency = valibot.InferOutput<typeof adjacencySchema>;

/** One customer's plan. */
export const planSchema = valibot.strictObject({
	name: planNameSchema,
	/** Work of an urgent plan starts within 5.9 s inside its guarantee. */
	urgency: valibot.optional(valibot.picklist(['urgent', 'normal']), 'normal'),
	/** Share of what nobody is guaranteed, relative to other plans. */
	weight: valibot.optional(valibot.pipe(positiveCountSchema, valibot.maxValue(1000, 'must be at most 1000')), 1),
});
export type Plan = Readonly<valibot.InferOutput<typeof planSchema>>;

/** A guaranteed shape: `count` cells, each of `accelerators` that are adjacent in one worker, rack or zone. */
export const guaranteeSchema = valibot.strictObject({
	zone: zoneNameSchema,
	adjacency: adjacencySchema,
	accelerators: valibot.pipe(positiveCountSchema, valibot.maxValue(maximumCellAccelerators, `must be at most ${maximumCellAccelerators}`)),
	count: positiveCountSchema,
});
export type Guarantee = Readonly<valibot.InferOutput<typeof guaranteeSchema>>;

/** What one plan may use. */
export const allowanceSchema = valibot.strictObject({
	plan: planNameSchema,
	guarantees: valibot.optional(valibot.pipe(valibot.array(guaranteeSchema), valibot.readonly()), []),
	/** Upper bound of accelerators in use at once in one zone. A preemptible gang starts only below it; the plan's preemptible work does not count against its other gangs. */
	maximumAccelerators: valibot.optional(countSchema, 0),
	/** Upper bound of requests in service at once in one zone. */
	maximumSlots: valibot.optional(countSchema, 0),
	/** Upper bound of requests and jobs that wait in one zone. */
	maximumQueued: valibot.optional(countSchema, 100),
});
export type Allowance = Readonly<valibot.InferOutput<typeof allowanceSchema>>;

/** The two lists as operators write them. */
export const listsSchema = valibot.strictObject({
	plans: valibot.pipe(valibot.array(planSchema), valibot.maxLength(maximumPlans), valibot.readonly()),
	allowances: valibot.pipe(valibot.array(allowanceSchema), valibot.maxLength(maximumPlans), valibot.readonly()),
});
export type Lists = Readonly<valibot.InferOutput<typeof listsSchema>>;

/** The stored configuration: both lists under one revision, which only grows. */
export const configurationSchema = valibot.strictObject({
	...listsSchema.entries,
	revision: countSchema,
	/** Unique for each write; lets a writer whose answer was lost find out whether the write took effect. */
	changeId: valibot.string(),
	changedBy: valibot.string(),
	changedAt: valibot.number(),
});
export type Configuration = Readonly<valibot.InferOutput<typeof configurationSchema>>;
