/** Keeps a program running after an error that none of its parts handled. */
import type {Milliseconds, MonotonicTime} from '#core';
import {exitCodeFailure} from './constants.js';
import type {ProgramLog} from './log.js';
import type {Clock, Counters} from './types.js';

/** Errors within the period after which a restart is more likely to help than going on. */
const maximumErrors = 20;
const periodMilliseconds: Milliseconds = 10_000;

/** The events and the exit of a process that are used here. */
export type ErrorSource = Readonly<{
	on(event: 'uncaughtException' | 'unhandledRejection', listener: (error: unknown) => void): unknown;
	exit(code: number): void;
}>;

/** Adds an error to those of the last period and returns them with whether the program should go on. */
export function recordError(earlier: readonly MonotonicTime[], monotonic: MonotonicTime): Readonly<{times: readonly MonotonicTime[]; canContinue: boolean}> {
	const times = [...earlier.filter(time => monotonic - time < periodMilliseconds), monotonic];
	return {times, canContinue: times.length <= maximumErrors};
}

/**
Logs and counts errors that no part of the program handled, instead of ending it: one message or call fails, and the others are served. Ends the program if errors keep coming.

@example
```
containUnexpectedErrors(process, {clock, counters, log});
```
*/
export function containUnexpectedErrors(source: ErrorSource, {clock, counters, log}: Readonly<{clock: Clock; counters: Counters; log: ProgramLog}>): void {
	let times: readonly MonotonicTime[] = [];
	const handle = (error: unknown) => {
		const recorded = recordError(times, clock.monotonic());
		({times} = recorded);
		counters.countEvent('unexpected-error');
		log.withPrefix('program').error({error: error instanceof Error ? error.stack : String(error)}, 'unexpected error');
		if (!recorded.canContinue) {
			log.withPrefix('program').error({errors: times.length}, 'too many unexpected errors; exiting');
			source.exit(exitCodeFailure);
		}
	};

	source.on('uncaughtException', handle);
	source.on('unhandledRejection', handle);
}
