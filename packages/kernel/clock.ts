import {performance} from 'node:perf_hooks';
import type {Milliseconds} from '#core';
import type {Cancel, Clock} from './types.js';

/** Wall clock, monotonic clock and timers of the operating system. */
export const systemClock: Clock = {
	now: () => Date.now(),
	monotonic: () => performance.now(),
	schedule(delay, callback) {
		const timer = setTimeout(callback, delay);
		return () => {
			clearTimeout(timer);
		};
	},
};

/** Resolves after the duration has elapsed on the clock. */
export async function sleep(clock: Clock, duration: Milliseconds): Promise<void> {
	await new Promise<void>(resolve => {
		clock.schedule(duration, resolve);
	});
}

/** A clock that only moves when it is advanced; for tests and benchmarks. */
export type VirtualClock = Clock & Readonly<{
	/** Advances the time and runs the timers that become due, ordered by due time. */
	advance(duration: Milliseconds): void;
}>;

type Timer = Readonly<{due: number; sequence: number; callback: () => void}>;

/** Creates a virtual clock that starts at the given wall-clock time; monotonic time starts at 0. */
export function createVirtualClock(start = 0): VirtualClock {
	let elapsed = 0;
	let sequence = 0;
	const timers = new Set<Timer>();

	const findNextTimer = (limit: number): Timer | undefined => {
		let next: Timer | undefined;
		for (const timer of timers) {
			const isEarlier = next === undefined || timer.due < next.due || (timer.due === next.due && timer.sequence < next.sequence);
			if (timer.due <= limit && isEarlier) {
				next = timer;
			}
		}

		return next;
	};

	return {
		now: () => start + elapsed,
		monotonic: () => elapsed,
		schedule(delay, callback): Cancel {
			const timer = {due: elapsed + Math.max(0, delay), sequence: sequence++, callback};
			timers.add(timer);
			return () => {
				timers.delete(timer);
			};
		},
		advance(duration) {
			const limit = elapsed + duration;
			for (let timer = findNextTimer(limit); timer !== undefined; timer = findNextTimer(limit)) {
				timers.delete(timer);
				elapsed = timer.due;
				timer.callback();
			}

			elapsed = limit;
		},
	};
}
