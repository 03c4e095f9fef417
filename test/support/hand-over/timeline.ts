/** Virtual time that runs one timer after the other, each until all promises that it resolved are settled. */
import type {Clock} from '#kernel';

export type Timeline = Readonly<{
	clock: Clock;
	/** Runs the timers that become due until the given time. */
	runUntil(time: number): Promise<void>;
}>;

type Timer = Readonly<{due: number; callback: () => void}>;

async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** Both clocks start at a time that is larger than every duration, as on machines that have been running. */
const startMilliseconds = 1_000_000;

export function createTimeline(): Timeline {
	let time = startMilliseconds;
	/** Ordered by due time, and by insertion among equal ones. */
	const timers: Timer[] = [];
	return {
		clock: {
			now: () => time,
			monotonic: () => time,
			schedule(delay, callback) {
				const timer = {due: time + Math.max(0, delay), callback};
				timers.splice(timers.findLastIndex(({due}) => due <= timer.due) + 1, 0, timer);
				return () => {
					const index = timers.indexOf(timer);
					if (index !== -1) {
						timers.splice(index, 1);
					}
				};
			},
		},
		async runUntil(end) {
			await settle();
			for (let next = timers[0]; next !== undefined && next.due <= end; next = timers[0]) {
				timers.shift();
				time = next.due;
				next.callback();
				await settle();
			}

			time = end;
		},
	};
}
