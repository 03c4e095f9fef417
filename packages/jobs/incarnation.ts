import type {WorkerId} from '#core';

/** Identifies one life of one worker. */
export type WorkerIncarnation = Readonly<{worker: WorkerId; incarnation: string}>;

/** Whether two descriptions are of one life of one worker. */
export function isSameIncarnation(first: WorkerIncarnation | undefined, second: WorkerIncarnation | undefined): boolean {
	return first?.worker === second?.worker && first?.incarnation === second?.incarnation;
}

/** Names one life of one worker, as a key. */
export function formatIncarnationKey({worker, incarnation}: WorkerIncarnation): string {
	return `${worker} ${incarnation}`;
}
