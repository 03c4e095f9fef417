import {
	assertNever, type Outcome, type RefusalReason, type RunResult,
} from '#core';
import type {Dispatch, DispatchState} from './types.js';

/** Reason where a request was never dispatched and nothing better is known. */
const defaultReason: RefusalReason = 'no-worker-available';

/**
Concludes what a caller may be told from every dispatch of the request.

- `completed` if any dispatch finished.
- `not-run` only if every dispatch was never sent, refused, or withdrawn by the agent that could have run it.
- `unknown` otherwise, and in place of `not-run` if an earlier submission of the identifier may have run elsewhere.

@param mayHaveRunBefore - The caller submitted the identifier before and nothing shows what became of it.
@param cause - Why the request ended, where the dispatches do not say.
*/
export function deriveOutcome(dispatches: readonly Dispatch[], mayHaveRunBefore: boolean, cause?: RefusalReason): Outcome {
	const result = findResult(dispatches);
	if (result !== undefined) {
		return {kind: 'completed', result};
	}

	const uncertain = dispatches.findLast(({state}) => !isCertainlyNotRun(state));
	if (uncertain !== undefined) {
		return {kind: 'unknown', reason: cause ?? reasonOf(uncertain.state) ?? 'connection-lost'};
	}

	const last = dispatches.at(-1)?.state;
	const reason = cause ?? (last === undefined ? undefined : reasonOf(last)) ?? defaultReason;
	if (mayHaveRunBefore) {
		return {kind: 'unknown', reason};
	}

	const wait = last?.kind === 'refused' ? last.retryAfterMilliseconds : undefined;
	return {kind: 'not-run', reason, ...(wait === undefined ? {} : {retryAfterMilliseconds: wait})};
}

function findResult(dispatches: readonly Dispatch[]): RunResult | undefined {
	for (const {state} of dispatches) {
		if (state.kind === 'finished') {
			return state.result;
		}
	}

	return undefined;
}

function isCertainlyNotRun(state: DispatchState): boolean {
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

function reasonOf(state: DispatchState): RefusalReason | undefined {
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
