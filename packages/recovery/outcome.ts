import {
	assertNever, type Outcome, type RefusalReason, type RunResult,
} from '#core';
import type {Dispatch, DispatchState} from './types.js';

/** Used if a request was never dispatched and has no more specific reason. */
const defaultReason: RefusalReason = 'no-worker-available';

/**
Derives the outcome of a request from all its dispatches.

- `completed` if any dispatch finished.
- `not-run` only if every dispatch was never sent, refused, or withdrawn by the agent that could have run it.
- `unknown` otherwise, and instead of `not-run` if an earlier submission of the identifier may have run elsewhere.

@param mayHaveRunBefore - Whether an earlier submission of the identifier may have run with an unknown result.
@param cause - Why the request ended. Takes precedence over the reasons of the dispatches.
*/
export function deriveOutcome(dispatches: readonly Dispatch[], mayHaveRunBefore: boolean, cause?: RefusalReason): Outcome {
	const result = findResult(dispatches);
	if (result !== undefined) {
		return {kind: 'completed', result};
	}

	const uncertain = dispatches.findLast(({state}) => !isKnownNotRun(state));
	if (uncertain !== undefined) {
		return {kind: 'unknown', reason: cause ?? getReason(uncertain.state) ?? 'connection-lost'};
	}

	const last = dispatches.at(-1)?.state;
	const reason = cause ?? (last === undefined ? undefined : getReason(last)) ?? defaultReason;
	if (mayHaveRunBefore) {
		return {kind: 'unknown', reason};
	}

	const retryAfterMilliseconds = last?.kind === 'refused' ? last.retryAfterMilliseconds : undefined;
	return {kind: 'not-run', reason, ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds})};
}

function findResult(dispatches: readonly Dispatch[]): RunResult | undefined {
	for (const {state} of dispatches) {
		if (state.kind === 'finished') {
			return state.result;
		}
	}

	return undefined;
}

function isKnownNotRun(state: DispatchState): boolean {
	switch (state.kind) {
		case 'not-sent':
		case 'refused':
		case 'withdrawn': {
			return true;
		}

		case 'sent':
		case 'lost':
		case 'interrupted':
		case 'finished': {
			return false;
		}

		default: {
			return assertNever(state);
		}
	}
}

function getReason(state: DispatchState): RefusalReason | undefined {
	switch (state.kind) {
		case 'not-sent':
		case 'refused':
		case 'withdrawn':
		case 'lost':
		case 'interrupted': {
			return state.reason;
		}

		case 'sent':
		case 'finished': {
			return undefined;
		}

		default: {
			return assertNever(state);
		}
	}
}
