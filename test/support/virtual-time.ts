/** Runs promises that wait under virtual time. */
import type {VirtualClock} from '#kernel';

/** Lets everything that is ready run, without advancing any clock. */
export async function settle(): Promise<void> {
	for (let turn = 0; turn < 20; turn++) {
		await Promise.resolve();
	}
}

/** Advances a virtual clock in small steps, so that promises resolve at the time they are due. */
export async function elapse(clock: VirtualClock, duration: number, step = 50): Promise<void> {
	await settle();
	for (let left = duration; left > 0; left -= step) {
		clock.advance(Math.min(step, left));
		await settle();
	}
}
