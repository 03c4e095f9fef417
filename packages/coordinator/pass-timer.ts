/** Decides when requested scheduling passes are carried out, so that they leave time for renewals, leases and callers. */
import type {Milliseconds} from '#core';
import {minimumPassDelayMilliseconds, maximumPassDelayMilliseconds, passDelayFactor} from './constants.js';
import type {CoordinatorContext} from './types.js';

export type PassTimer = Readonly<{
	/** Carries out a pass soon; the scheduler requests the next one only afterwards. */
	request(): void;
}>;

/**
Delay before the next pass: the longer the last one took, the longer the others have the processor.

@example
```
choosePassDelay(40);
//=> 120
```
*/
export function choosePassDelay(lastDuration: Milliseconds): Milliseconds {
	return Math.min(maximumPassDelayMilliseconds, Math.max(minimumPassDelayMilliseconds, lastDuration * passDelayFactor));
}

/** Creates a timer that calls `carryOut` after each request and records how long it took. */
export function createPassTimer({clock, counters}: Pick<CoordinatorContext, 'clock' | 'counters'>, carryOut: () => void): PassTimer {
	let lastDuration: Milliseconds = 0;
	return {
		request() {
			clock.schedule(choosePassDelay(lastDuration), () => {
				const startedAt = clock.monotonic();
				carryOut();
				lastDuration = clock.monotonic() - startedAt;
				counters.recordLatency('scheduling-pass', lastDuration);
			});
		},
	};
}
