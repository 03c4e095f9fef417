import {
	assertNever, type Milliseconds, type RandomSource, type RefusalReason,
} from '#core';
import {clientBackoffMaximumMilliseconds, clientBackoffMinimumMilliseconds, maximumAttempts} from './constants.js';
import type {SubmissionAnswer, SubmissionOutcome} from './types.js';

/** What is known after the attempts of one submission so far. */
export type SubmissionState = Readonly<{
	id: string;
	attempts: number;
	/** An earlier submission may have reached an entry and was not answered with certainty. Sent as `retry`. */
	isUncertain: boolean;
}>;

export type Decision<Value> =
	| Readonly<{kind: 'conclude'; outcome: SubmissionOutcome<Value>}>
	| Readonly<{kind: 'retry'; state: SubmissionState; delay: Milliseconds}>;

/** An entry refuses for these reasons before the work starts, and waiting helps. As the answer to a retry they come as `unknown`. */
const temporaryReasons: ReadonlySet<RefusalReason> = new Set([
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
Decides after one answer whether a submission is tried again and what its caller is told.

Every attempt carries the same identifier. `not-run` is concluded only if no attempt can have run; an answer `not-run` to an attempt that was sent as a retry covers the earlier ones.
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

			return temporaryReasons.has(reason) && attempts < maximumAttempts
				? retry({id, attempts, isUncertain: false}, random, retryAfterMilliseconds)
				: {
					kind: 'conclude', outcome: {
						kind: 'not-run', id, reason, findings, ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
					},
				};
		}

		case 'unknown': {
			return temporaryReasons.has(answer.reason) && attempts < maximumAttempts
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
	const bound = Math.min(clientBackoffMaximumMilliseconds, clientBackoffMinimumMilliseconds * (2 ** state.attempts));
	return {kind: 'retry', state, delay: retryAfter + (random() * bound)};
}
