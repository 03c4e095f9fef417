/** The operators' two lists: plans and their allowances. */
import * as valibot from 'valibot';
import {planNameSchema, zoneNameSchema} from '#core';
import {maximumCellAccelerators, maximumPlans} from './constants.js';

const countSchema = valibot.pipe(valibot.number(), valibot.integer('must be a whole number'), valibot.minValue(0, 'must not be negative'));
const positiveCountSchema = valibot.pipe(countSchema, valibot.minValue(1, 'must be at least 1'));

/** Required proximity of the accelerators of one cell: within one worker, rack or availability zone. */
export const adjacencySchema = valibot.picklist(['worker', 'rack', 'zone']);
export type Adjacency = valibot.InferOutput<typeof adjacencySchema>;

/** The plan that a customer bought. */
export const planSchema = valibot.strictObject({
	name: planNameSchema,
	/** Work of an urgent plan starts within 5.9 s as long as it stays within the guarantee. */
	urgency: valibot.optional(valibot.picklist(['urgent', 'normal']), 'normal'),
	/** Relative share of the capacity that is not guaranteed to any plan. */
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

/** Guarantees and upper bounds of one plan. */
export const allowanceSchema = valibot.strictObject({
	plan: planNameSchema,
	guarantees: valibot.optional(valibot.pipe(valibot.array(guaranteeSchema), valibot.readonly()), []),
	/** Maximum number of accelerators in use at once in one zone. A preemptible gang starts only below it; the plan's preemptible work does not count against its other gangs. */
	maximumAccelerators: valibot.optional(countSchema, 0),
	/** Maximum number of requests in service at once in one zone. */
	maximumSlots: valibot.optional(countSchema, 0),
	/** Maximum number of queued requests and jobs in one zone. */
	maximumQueued: valibot.optional(countSchema, 100),
});
export type Allowance = Readonly<valibot.InferOutput<typeof allowanceSchema>>;

/** The two lists as operators write them. */
export const listsSchema = valibot.strictObject({
	plans: valibot.pipe(valibot.array(planSchema), valibot.maxLength(maximumPlans), valibot.readonly()),
	allowances: valibot.pipe(valibot.array(allowanceSchema), valibot.maxLength(maximumPlans), valibot.readonly()),
});
export type Lists = Readonly<valibot.InferOutput<typeof listsSchema>>;

/** The stored configuration: both lists under one revision, which only increases. */
export const configurationSchema = valibot.strictObject({
	...listsSchema.entries,
	revision: countSchema,
	/** Unique for each write; lets a writer that lost the answer determine whether the write took effect. */
	changeId: valibot.string(),
	changedBy: valibot.string(),
	changedAt: valibot.number(),
});
export type Configuration = Readonly<valibot.InferOutput<typeof configurationSchema>>;
