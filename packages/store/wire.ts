/** JSON bodies of the key-value service's HTTP interface. */
import * as valibot from 'valibot';

export const storedValueSchema = valibot.object({key: valibot.string(), value: valibot.unknown(), version: valibot.number()});
export const writtenSchema = valibot.object({version: valibot.number()});
export const conflictSchema = valibot.object({current: valibot.nullable(storedValueSchema)});
export const listedSchema = valibot.object({revision: valibot.number(), values: valibot.array(storedValueSchema)});
export const leaseSchema = valibot.object({lease: valibot.string()});
export const limitedSchema = valibot.object({retryAfterMilliseconds: valibot.optional(valibot.number())});
export const eventsSchema = valibot.object({
	revision: valibot.number(),
	events: valibot.array(valibot.variant('kind', [
		valibot.object({kind: valibot.literal('put'), stored: storedValueSchema}),
		valibot.object({kind: valibot.literal('deleted'), key: valibot.string()}),
	])),
});
