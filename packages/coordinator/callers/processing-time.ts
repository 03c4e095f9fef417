import type {Milliseconds} from '#core';
import {callerReplyMarginShare, maximumCallerReplyMarginMilliseconds} from '../constants.js';

/** Longest time for processing a call; callers of the platform time out after 3 s. */
const maximumCallMilliseconds = 2500;

/**
Computes how long a call may be processed so that the answer arrives before its caller stops waiting.

@example
```
computeProcessingTime(200);
//=> 140
```
*/
export function computeProcessingTime(timeout: Milliseconds): Milliseconds {
	const remaining = Math.max(0, Math.min(timeout, maximumCallMilliseconds));
	return remaining - Math.min(maximumCallerReplyMarginMilliseconds, remaining * callerReplyMarginShare);
}
