import {
	assertNever, type Finding, type Outcome, type RefusalReason, type RequestId,
} from '#core';
import type {HttpReply} from '#kernel';
import type {SubmitReply} from './types.js';

const refusalTitles: Readonly<Partial<Record<RefusalReason, string>>> = {
	'no-configuration': 'No configuration has been read yet',
	'unknown-plan': 'The plan does not exist',
	'quota-exceeded': 'The plan has reached its limit of requests in flight',
	'queue-full': 'The queue of the worker is full',
	'no-worker-available': 'No worker is available',
	'claim-unavailable': 'The claim of the request could not be stored',
	'identifier-expired': 'The identifier is too old',
	'identifier-in-future': 'The timestamp of the identifier is in the future',
	'identifier-reused': 'The identifier belongs to another request',
	'connection-lost': 'The connection to the worker was lost',
	timeout: 'The request exceeded its deadline',
	cancelled: 'The request was cancelled',
	overloaded: 'The entry has reached its limit of requests in flight',
	'link-limited': 'The bandwidth limit of the link between regions is reached',
};

/** Default retry delays, in milliseconds, of refusals that are temporary. */
const defaultRetryDelays: ReadonlyMap<RefusalReason, number> = new Map([
	['no-configuration', 1000],
	['no-worker-available', 1000],
	['claim-unavailable', 2000],
	['overloaded', 1000],
	['quota-exceeded', 1000],
	['queue-full', 1000],
	['draining', 1000],
	['link-limited', 1000],
	['store-unavailable', 2000],
]);

/** HTTP status codes of refusals; every other reason has 503. */
const statusCodes: ReadonlyMap<RefusalReason, number> = new Map([
	['unknown-plan', 403],
	['identifier-expired', 409],
	['identifier-in-future', 409],
	['identifier-reused', 409],
	['cancelled', 409],
	['withdrawn', 409],
	['quota-exceeded', 429],
	['timeout', 504],
]);

/** Formats the path at which a caller can query the outcome of a request. */
export function formatRequestLink(requestId: RequestId): string {
	return `/v1/requests/${requestId}`;
}

/** Encodes the answer to a submission; every answer states the outcome. */
export function encodeSubmitReply(requestId: RequestId, reply: SubmitReply, isRetry: boolean): HttpReply {
	switch (reply.kind) {
		case 'outcome': {
			return encodeOutcome(requestId, reply.outcome);
		}

		case 'refused': {
			// An earlier submission, or another request with the same identifier, may have run.
			const isUnknown = isRetry || reply.reason === 'identifier-reused';
			return encodeOutcome(requestId, isUnknown ? {kind: 'unknown', reason: reply.reason} : {...reply, kind: 'not-run'});
		}

		default: {
			return assertNever(reply);
		}
	}
}

export function encodeOutcome(requestId: RequestId, outcome: Outcome): HttpReply {
	switch (outcome.kind) {
		case 'completed': {
			return {kind: 'json', status: 200, body: {requestId, outcome: 'completed', ...outcome.result}};
		}

		case 'not-run': {
			const {reason, retryAfterMilliseconds = defaultRetryDelays.get(reason)} = outcome;
			return {
				kind: 'problem', problem: {
					status: getStatusCode(reason),
					reason,
					title: refusalTitles[reason] ?? 'The request was refused',
					...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
					extensions: {requestId, outcome: 'not-run'},
				},
			};
		}

		case 'unknown': {
			return {
				kind: 'problem', problem: {
					status: outcome.reason === 'timeout' ? 504 : 502,
					reason: outcome.reason,
					title: refusalTitles[outcome.reason] ?? 'It is not known whether the request ran',
					extensions: {requestId, outcome: 'unknown', link: formatRequestLink(requestId)},
				},
			};
		}

		default: {
			return assertNever(outcome);
		}
	}
}

/** Encodes the validation errors of a request. */
export function encodeFindings(findings: readonly Finding[]): HttpReply {
	return {
		kind: 'problem', problem: {
			status: 400, reason: 'invalid-request', title: 'Request is not valid', findings, extensions: {outcome: 'not-run'},
		},
	};
}

/** Encodes the known outcome of a request, as the answer to a query or a cancellation. */
export function encodeKnownOutcome(requestId: RequestId, outcome: Outcome): HttpReply {
	switch (outcome.kind) {
		case 'completed': {
			return encodeOutcome(requestId, outcome);
		}

		case 'not-run': {
			return {kind: 'json', status: 200, body: {requestId, outcome: 'not-run', reason: outcome.reason}};
		}

		case 'unknown': {
			return {
				kind: 'json', status: 200, body: {
					requestId, outcome: 'unknown', reason: outcome.reason, link: formatRequestLink(requestId),
				},
			};
		}

		default: {
			return assertNever(outcome);
		}
	}
}

/** Encodes that a request is in flight and its outcome is not known yet. */
export function encodeInFlight(requestId: RequestId, status: 200 | 202): HttpReply {
	return {
		kind: 'json', status, body: {
			requestId, outcome: 'unknown', state: 'in-flight', link: formatRequestLink(requestId),
		},
	};
}

export function encodeAbsent(requestId: RequestId): HttpReply {
	return {
		kind: 'problem', problem: {
			status: 404, reason: 'not-found', title: 'This entry has no record of the request', extensions: {requestId, outcome: 'unknown'},
		},
	};
}

function getStatusCode(reason: RefusalReason): number {
	return statusCodes.get(reason) ?? 503;
}
