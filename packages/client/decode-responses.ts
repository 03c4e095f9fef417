/** Decodes responses of an entry's HTTP API. */
import * as valibot from 'valibot';
import {
	refusalReasonSchema, runResultSchema, type RefusalReason, type RunResult,
} from '#core';
import type {HttpResult} from '#transport';
import type {
	FindReply, JobStatus, RequestStatus, SubmissionAnswer,
} from './types.js';

const findingsSchema = valibot.optional(valibot.array(valibot.object({place: valibot.string(), message: valibot.string()})), []);

/** The members of problem details that the client uses; a reason that is not a refusal, such as an internal error, is ignored. */
const problemSchema = valibot.object({
	reason: valibot.fallback(valibot.optional(refusalReasonSchema), undefined),
	outcome: valibot.optional(valibot.picklist(['not-run', 'unknown'])),
	findings: findingsSchema,
	retryAfterMilliseconds: valibot.optional(valibot.number()),
	title: valibot.optional(valibot.string()),
});

const jobStatusSchema = valibot.looseObject({
	jobId: valibot.string(),
	state: valibot.string(),
	plan: valibot.optional(valibot.string()),
	outcome: valibot.optional(valibot.string()),
	reason: valibot.optional(valibot.string()),
	attempt: valibot.optional(valibot.number()),
	cancelRequested: valibot.optional(valibot.boolean()),
});

const completedSchema = valibot.object({requestId: valibot.string(), outcome: valibot.literal('completed'), ...runResultSchema.entries});
const requestStatusSchema = valibot.variant('outcome', [
	completedSchema,
	valibot.object({requestId: valibot.string(), outcome: valibot.literal('not-run'), reason: refusalReasonSchema}),
	valibot.object({
		requestId: valibot.string(), outcome: valibot.literal('unknown'), state: valibot.optional(valibot.string()), reason: valibot.optional(refusalReasonSchema),
	}),
]);

export function decodeRequestSubmission(result: HttpResult): SubmissionAnswer<RunResult> {
	return decodeSubmission(result, body => {
		const decoded = valibot.safeParse(completedSchema, body);
		return decoded.success ? toRunResult(decoded.output) : undefined;
	});
}

export function decodeJobSubmission(result: HttpResult): SubmissionAnswer<JobStatus> {
	return decodeSubmission(result, body => {
		const decoded = valibot.safeParse(jobStatusSchema, body);
		return decoded.success ? decoded.output : undefined;
	});
}

function decodeSubmission<Value>(result: HttpResult, decodeValue: (body: unknown) => Value | undefined): SubmissionAnswer<Value> {
	if (result.kind === 'failed') {
		return result;
	}

	const value = result.status < 300 ? decodeValue(result.body) : undefined;
	if (value !== undefined) {
		return {kind: 'completed', value};
	}

	const decoded = valibot.safeParse(problemSchema, result.body);
	const problem = decoded.success ? decoded.output : undefined;
	// Without an outcome, only a client error (4xx) shows that this submission did not run.
	const isRefused = problem?.outcome === 'not-run' || (problem?.outcome === undefined && result.status >= 400 && result.status < 500);
	return isRefused
		? {
			kind: 'not-run',
			reason: problem?.reason ?? 'invalid-request',
			findings: problem?.findings ?? [],
			retryAfterMilliseconds: problem?.retryAfterMilliseconds,
			coversEarlier: problem?.outcome === 'not-run',
		}
		: {kind: 'unknown', reason: problem?.reason ?? fallbackReason};
}

const fallbackReason: RefusalReason = 'connection-lost';

export function decodeRequestStatus(result: HttpResult): FindReply<RequestStatus> {
	return decodeStatusReply(result, (body): RequestStatus | undefined => {
		const decoded = valibot.safeParse(requestStatusSchema, body);
		if (!decoded.success) {
			return undefined;
		}

		const status = decoded.output;
		switch (status.outcome) {
			case 'completed': {
				return {outcome: 'completed', requestId: status.requestId, result: toRunResult(status)};
			}

			case 'not-run': {
				return status;
			}

			case 'unknown': {
				return {
					outcome: 'unknown', requestId: status.requestId, isInFlight: status.state === 'in-flight', reason: status.reason,
				};
			}
		}
	});
}

export function decodeJobStatus(result: HttpResult): FindReply<JobStatus> {
	return decodeStatusReply(result, body => {
		const decoded = valibot.safeParse(jobStatusSchema, body);
		return decoded.success ? decoded.output : undefined;
	});
}

function decodeStatusReply<Status>(result: HttpResult, decodeStatus: (body: unknown) => Status | undefined): FindReply<Status> {
	if (result.kind === 'failed') {
		return {kind: 'unavailable', message: result.message};
	}

	if (result.status === 404) {
		return {kind: 'absent'};
	}

	const status = result.status < 300 ? decodeStatus(result.body) : undefined;
	if (status !== undefined) {
		return {kind: 'found', status};
	}

	const problem = valibot.safeParse(problemSchema, result.body);
	return problem.success && problem.output.findings.length > 0
		? {kind: 'invalid', findings: problem.output.findings}
		: {kind: 'unavailable', message: (problem.success ? problem.output.title : undefined) ?? `status ${result.status}`};
}

function toRunResult({status, body, serviceMilliseconds, queueMilliseconds}: RunResult): RunResult {
	return {
		status, body, serviceMilliseconds, queueMilliseconds,
	};
}
