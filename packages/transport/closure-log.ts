import type {RefusalReason} from '#core';
import type {Logger} from '#kernel';

/** Interval of the lines of one reason. */
const logIntervalMilliseconds = 10_000;

export type ClosureDetails = Readonly<{remote: string; bytes: number; milliseconds: number}>;

export type ClosureLog = Readonly<{record(reason: RefusalReason, details: ClosureDetails): void}>;

/** Counts each connection that was refused or closed, and logs at most one line in 10 s for each reason. */
export function createClosureLog(log: Logger, countRefusal: (reason: RefusalReason) => void, now: () => number): ClosureLog {
	const lastLines = new Map<RefusalReason, number>();
	const unlogged = new Map<RefusalReason, number>();
	return {
		record(reason, details) {
			countRefusal(reason);
			const connections = (unlogged.get(reason) ?? 0) + 1;
			if (now() - (lastLines.get(reason) ?? -Infinity) < logIntervalMilliseconds) {
				unlogged.set(reason, connections);
				return;
			}

			lastLines.set(reason, now());
			unlogged.delete(reason);
			log.warn({reason, connections, last: details}, 'connection outside the limits was refused or closed');
		},
	};
}
