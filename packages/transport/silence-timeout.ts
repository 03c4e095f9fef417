import type {Milliseconds} from '#core';
import {maximumTransferMilliseconds} from './constants.js';

export type SilenceTimeout = Readonly<{
	signal: AbortSignal;
	/** Starts the time anew, because data arrived. */
	restart(): void;
	stop(): void;
}>;

/**
Aborts a call after a time without data from the server. A limit on the whole call would end transfers that are only slow, and a retry begins them anew.

@example
```
const timeout = startSilenceTimeout(900);
const response = await request(url, {signal: timeout.signal});
timeout.restart();
```
*/
export function startSilenceTimeout(timeout: Milliseconds): SilenceTimeout {
	const controller = new AbortController();
	const abort = () => {
		controller.abort();
	};

	const silence = setTimeout(abort, timeout).unref();
	let limit: NodeJS.Timeout | undefined;
	return {
		signal: controller.signal,
		restart() {
			silence.refresh();
			limit ??= setTimeout(abort, maximumTransferMilliseconds).unref();
		},
		stop() {
			clearTimeout(silence);
			clearTimeout(limit);
		},
	};
}
