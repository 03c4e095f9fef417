import type {Milliseconds} from '#core';
import {
	electionJitterMilliseconds, electionLatencyFactor, electionProcessorMilliseconds, maximumElectionProcessorMilliseconds,
} from './constants.js';

export type ElectionFactors = Readonly<{
	/** Duration of a read from the store. */
	latency: Milliseconds;
	/** Usual cores that the process may use. */
	processorCapacity: number;
	/** Uniform in [0, 1). */
	random: number;
}>;

/**
Computes how long an entry waits before it campaigns. Entries near the store and on strong machines come first, because the scheduler writes to the store often and decides for the whole pool.

@example
```
computeElectionDelay({latency: 10, processorCapacity: 1, random: 0});
//=> 80
```
*/
export function computeElectionDelay({latency, processorCapacity, random}: ElectionFactors): Milliseconds {
	const processorDelay = Math.min(maximumElectionProcessorMilliseconds, electionProcessorMilliseconds / processorCapacity);
	return (latency * electionLatencyFactor) + processorDelay + (random * electionJitterMilliseconds);
}
