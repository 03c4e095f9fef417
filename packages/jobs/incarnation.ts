import type {WorkerId} from '#core';

/** Identifies one incarnation of a worker. */
export type WorkerIncarnation = Readonly<{worker: WorkerId; incarnation: string}>;

/** Whether both describe the same incarnation of the same worker. */
export function isSameIncarnation(first: WorkerIncarnation | undefined, second: WorkerIncarnation | undefined): boolean {
	return first?.worker === second?.worker && first?.incarnation === second?.incarnation;
}

/** Formats a map key for one incarnation of a worker. */
export function formatIncarnationKey({worker, incarnation}: WorkerIncarnation): string {
	return `${worker} ${incarnation}`;
}
