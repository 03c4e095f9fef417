/** Decides when requested scheduling passes are carried out, so that they leave time for renewals, leases and callers. */
import type {Milliseconds} from '#core';
import {minimumPassDelayMilliseconds, maximumPassDelayMilliseconds, passDelayFactor} from './constants.js';
import type {CoordinatorContext} from './types.js';

export type PassTimer = Readonly<{
	/** Carries out a pass soon; the scheduler requests the next one only afterwards. */
	request(): void;
}>;

export type LastPass = Readonly<{duration: Milliseconds; elapsedSince: Milliseconds}>;

/**
Delay before the next pass: the longer the last one took, the longer the others have the processor afterwards.

@example
```
choosePassDelay({duration: 40, elapsedSince: 100});
//=> 20
```
*/
export function choosePassDelay({duration, elapsedSince}: LastPass): Milliseconds {
	const pause = Math.min(maximumPassDelayMilliseconds, duration * passDelayFactor);
	return Math.max(minimumPassDelayMilliseconds, pause - elapsedSince);
}

/** Creates a timer that calls `carryOut` once after the requests of a moment and records how long it took. */
export function createPassTimer({clock, counters}: Pick<CoordinatorContext, 'clock' | 'counters'>, carryOut: () => void): PassTimer {
	let duration: Milliseconds = 0;
	let endedAt = clock.monotonic();
	let isPending = false;
	return {
		request() {
			if (isPending) {
				return;
			}

			isPending = true;
			clock.schedule(choosePassDelay({duration, elapsedSince: clock.monotonic() - endedAt}), () => {
				const startedAt = clock.monotonic();
				isPending = false;
				carryOut();
				endedAt = clock.monotonic();
				duration = endedAt - startedAt;
				counters.recordLatency('scheduling-pass', duration);
			});
		},
	};
}
