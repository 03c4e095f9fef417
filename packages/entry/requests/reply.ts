import {
	assertNever, type Finding, type Outcome, type RefusalReason, type RequestId,
} from '#core';
import type {HttpReply} from '#kernel';
import type {SubmitReply} from './types.js';

const titles: Readonly<Partial<Record<RefusalReason, string>>> = {
	'no-configuration': 'No configuration has been read yet',
	'unknown-plan': 'The plan does not exist',
	'quota-exceeded': 'The plan has as many requests in flight as it may have',
	'queue-full': 'The queue of the worker is full',
	'no-worker-available': 'No worker is available',
	'claim-unavailable': 'The claim of the request could not be stored',
	'identifier-expired': 'The identifier is too old',
	'identifier-in-future': 'The identifier is from the future',
	'identifier-reused': 'The identifier belongs to another request',
	'connection-lost': 'The connection to the worker was lost',
	timeout: 'The request took longer than it may',
	cancelled: 'The request was cancelled',
	overloaded: 'The entry has as many requests in flight as it may have',
	'link-limited': 'The link between regions has no room',
};

/** Waiting helps after these refusals. */
const retryAfterReasons: ReadonlyMap<RefusalReason, number> = new Map([
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

/** Status codes of refusals; every other reason is a 503. */
const statuses: ReadonlyMap<RefusalReason, number> = new Map([
	['unknown-plan', 403],
	['identifier-expired', 409],
	['identifier-in-future', 409],
	['identifier-reused', 409],
	['cancelled', 409],
	['withdrawn', 409],
	['quota-exceeded', 429],
	['timeout', 504],
]);

/** Where a caller finds out what became of a request. */
export function formatRequestLink(requestId: RequestId): string {
	return `/v1/requests/${requestId}`;
}

/** Encodes what the caller of one submission is told; every answer states its outcome. */
export function encodeSubmitReply(requestId: RequestId, reply: SubmitReply, isRetry: boolean): HttpReply {
	switch (reply.kind) {
		case 'outcome': {
			return encodeOutcome(requestId, reply.outcome);
		}

		case 'refused': {
			// Whatever the identifier stands for, or an earlier submission of it, may have run.
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
			const {reason, retryAfterMilliseconds = retryAfterReasons.get(reason)} = outcome;
			return {
				kind: 'problem', problem: {
					status: statusOf(reason),
					reason,
					title: titles[reason] ?? 'The request was refused',
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
					title: titles[outcome.reason] ?? 'It is not known whether the request ran',
					extensions: {requestId, outcome: 'unknown', link: formatRequestLink(requestId)},
				},
			};
		}

		default: {
			return assertNever(outcome);
		}
	}
}

/** Encodes findings on a body that is well-formed and still cannot be taken. */
export function encodeFindings(findings: readonly Finding[]): HttpReply {
	return {
		kind: 'problem', problem: {
			status: 400, reason: 'invalid-request', title: 'Request is not valid', findings, extensions: {outcome: 'not-run'},
		},
	};
}

/** Encodes what is known about an identifier, as the answer to a question about it. */
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

/** Encodes that a request is being worked on and its outcome is open. */
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
			status: 404, reason: 'not-found', title: 'This entry does not know the request', extensions: {requestId, outcome: 'unknown'},
		},
	};
}

function statusOf(reason: RefusalReason): number {
	return statuses.get(reason) ?? 503;
}
