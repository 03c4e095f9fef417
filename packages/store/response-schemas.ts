/** Schemas of the response bodies of the key-value service's HTTP API. */
import * as valibot from 'valibot';

export const storedValueSchema = valibot.object({key: valibot.string(), value: valibot.unknown(), version: valibot.number()});
export const writeResponseSchema = valibot.object({version: valibot.number()});
export const conflictResponseSchema = valibot.object({current: valibot.nullable(storedValueSchema)});
export const listResponseSchema = valibot.object({revision: valibot.number(), values: valibot.array(storedValueSchema)});
export const leaseResponseSchema = valibot.object({lease: valibot.string()});
export const rateLimitResponseSchema = valibot.object({retryAfterMilliseconds: valibot.optional(valibot.number())});
export const watchResponseSchema = valibot.object({
	revision: valibot.number(),
	events: valibot.array(valibot.variant('kind', [
		valibot.object({kind: valibot.literal('put'), stored: storedValueSchema}),
		valibot.object({kind: valibot.literal('deleted'), key: valibot.string()}),
	])),
});
