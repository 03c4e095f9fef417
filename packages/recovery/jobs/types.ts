/** Job records, stored under `jobs/<id>`. */
import * as valibot from 'valibot';
import {
	countSchema, entryIdSchema, jobWorkSchema, placeSchema, refusalReasonSchema, runResultSchema, zoneNameSchema, type JobId,
} from '#core';

const timestampSchema = valibot.pipe(valibot.number(), valibot.minValue(0));

/** A gang member with its place and accelerators. */
export const placedMemberSchema = valibot.object({
	member: countSchema,
	place: placeSchema,
	accelerators: valibot.pipe(valibot.array(countSchema), valibot.readonly()),
});
export type PlacedMember = Readonly<valibot.InferOutput<typeof placedMemberSchema>>;

const placedMembersSchema = valibot.pipe(valibot.array(placedMemberSchema), valibot.readonly());

export const memberResultSchema = valibot.object({member: countSchema, result: runResultSchema});
export type MemberResult = Readonly<valibot.InferOutput<typeof memberResultSchema>>;

const memberResultsSchema = valibot.pipe(valibot.array(memberResultSchema), valibot.readonly());

/**
State of a job.

`placing` is written before any member is reserved, and `running` before any member is started, so that a reader of the record can tell what may have happened at the agents.
*/
export const jobStateSchema = valibot.variant('kind', [
	valibot.object({kind: valibot.literal('queued')}),
	valibot.object({kind: valibot.literal('placing'), members: placedMembersSchema}),
	valibot.object({
		kind: valibot.literal('running'),
		members: placedMembersSchema,
		/** Attempt in which the gang was placed; lower than the record's attempt after an adoption. */
		heldAs: countSchema,
		/** Whether an earlier attempt may have started. */
		hadStarted: valibot.boolean(),
		since: timestampSchema,
	}),
	valibot.object({kind: valibot.literal('finished'), results: memberResultsSchema, at: timestampSchema}),
	valibot.object({
		kind: valibot.literal('failed'), reason: refusalReasonSchema, results: memberResultsSchema, at: timestampSchema,
	}),
	valibot.object({kind: valibot.literal('cancelled'), at: timestampSchema}),
	valibot.object({kind: valibot.literal('unknown'), reason: refusalReasonSchema, at: timestampSchema}),
]);
export type JobState = Readonly<valibot.InferOutput<typeof jobStateSchema>>;

export const jobRecordSchema = valibot.object({
	work: jobWorkSchema,
	submittedAt: timestampSchema,
	owner: entryIdSchema,
	/** Zone of the owner and of every place in the record. */
	zone: zoneNameSchema,
	/** Incremented by each adoption. */
	term: countSchema,
	/** Fencing token checked by agents; incremented by each placement and each adoption. */
	attempt: countSchema,
	state: jobStateSchema,
	/** Whether a member of any attempt may have started. */
	hasStarted: valibot.boolean(),
	cancelRequested: valibot.boolean(),
	checkpoints: valibot.record(valibot.string(), valibot.unknown()),
	/** Unique for each write; shows a writer that lost the reply whether its write took effect. */
	writeId: valibot.string(),
});
export type JobRecord = Readonly<valibot.InferOutput<typeof jobRecordSchema>>;

export const jobKeyPrefix = 'jobs/';

export function jobKey(job: JobId): string {
	return jobKeyPrefix + job;
}
