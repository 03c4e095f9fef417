/** A network on virtual time that loses, delays, repeats and reorders messages. */
import type {RandomSource} from '#core';
import type {VirtualClock} from '#kernel';

export type Faults = Readonly<{loss: number; repeat: number; maximumDelay: number; lostWriteAnswers: number}>;

export const noFaults: Faults = {
	loss: 0, repeat: 0, maximumDelay: 5, lostWriteAnswers: 0,
};

/** A process that handles nothing until it is resumed. */
export type Pausable = Readonly<{pausedUntil: number}>;

export type Network = ReturnType<typeof createNetwork>;

export function createNetwork(clock: VirtualClock, random: RandomSource) {
	let faults = noFaults;
	const later = (delay: number, action: () => void) => {
		clock.schedule(delay, action);
	};

	const whenAwake = (target: Pausable, action: () => void) => {
		if (target.pausedUntil <= clock.monotonic()) {
			action();
			return;
		}

		later(target.pausedUntil - clock.monotonic(), () => {
			whenAwake(target, action);
		});
	};

	return {
		clock,
		random,
		later,
		whenAwake,
		present: () => ({now: clock.now(), monotonic: clock.monotonic()}),
		setFaults(next: Faults) {
			faults = next;
		},
		/** Whether the store's answer to a write gets lost. */
		losesWriteAnswer: () => random() < faults.lostWriteAnswers,
		/** Delivers a message zero, one or two times, after a delay of its own each time. */
		transmit(deliver: () => void) {
			const copies = random() < faults.loss ? 0 : (random() < faults.repeat ? 2 : 1);
			for (let copy = 0; copy < copies; copy++) {
				later(1 + (random() * faults.maximumDelay), deliver);
			}
		},
	};
}
