import {
	assertNever, type Milliseconds, type RandomSource, type RefusalReason,
} from '#core';
import {clientBackoffMaximumMilliseconds, clientBackoffMinimumMilliseconds, maximumAttempts} from './constants.js';
import type {SubmissionAnswer, SubmissionOutcome} from './types.js';

/** The state of one submission after the attempts so far. */
export type SubmissionState = Readonly<{
	id: string;
	attempts: number;
	/** An earlier attempt may have reached an entry, and its outcome is unknown. Sent as `retry`. */
	isUncertain: boolean;
}>;

export type Decision<Value> =
	| Readonly<{kind: 'conclude'; outcome: SubmissionOutcome<Value>}>
	| Readonly<{kind: 'retry'; state: SubmissionState; delay: Milliseconds}>;

/** Refusals before the work starts that a later attempt may overcome. In response to a retry, they arrive as `unknown`. */
const transientReasons: ReadonlySet<RefusalReason> = new Set([
	'no-configuration',
	'no-worker-available',
	'claim-unavailable',
	'store-unavailable',
	'overloaded',
	'quota-exceeded',
	'queue-full',
	'draining',
	'link-limited',
	'too-many-connections',
]);

/**
Decides after one answer whether to retry a submission or which outcome to return to its caller.

Every attempt carries the same identifier. `not-run` is concluded only if no attempt can have run; a `not-run` answer to an attempt that was sent as a retry also covers the earlier attempts.
*/
export function decideNext<Value>(state: SubmissionState, answer: SubmissionAnswer<Value>, random: RandomSource): Decision<Value> {
	const {id} = state;
	const attempts = state.attempts + 1;
	switch (answer.kind) {
		case 'completed': {
			return {kind: 'conclude', outcome: {kind: 'completed', id, value: answer.value}};
		}

		case 'not-run': {
			const {
				reason, findings, retryAfterMilliseconds, coversEarlier,
			} = answer;
			if (state.isUncertain && !coversEarlier) {
				return {kind: 'conclude', outcome: {kind: 'unknown', id, reason}};
			}

			return transientReasons.has(reason) && attempts < maximumAttempts
				? retry({id, attempts, isUncertain: false}, random, retryAfterMilliseconds)
				: {
					kind: 'conclude', outcome: {
						kind: 'not-run', id, reason, findings, ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
					},
				};
		}

		case 'unknown': {
			return transientReasons.has(answer.reason) && attempts < maximumAttempts
				? retry({id, attempts, isUncertain: true}, random)
				: {kind: 'conclude', outcome: {kind: 'unknown', id, reason: answer.reason}};
		}

		case 'failed': {
			const isUncertain = state.isUncertain || answer.delivery === 'perhaps-sent';
			if (attempts < maximumAttempts) {
				return retry({id, attempts, isUncertain}, random);
			}

			return {
				kind: 'conclude', outcome: isUncertain
					? {kind: 'unknown', id, reason: 'connection-lost'}
					: {
						kind: 'not-run', id, reason: 'connection-lost', findings: [],
					},
			};
		}

		default: {
			return assertNever(answer);
		}
	}
}

function retry<Value>(state: SubmissionState, random: RandomSource, retryAfter: Milliseconds = 0): Decision<Value> {
	const maximumBackoff = Math.min(clientBackoffMaximumMilliseconds, clientBackoffMinimumMilliseconds * (2 ** state.attempts));
	return {kind: 'retry', state, delay: retryAfter + (random() * maximumBackoff)};
}
