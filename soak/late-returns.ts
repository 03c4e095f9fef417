/** Generates the faults of a soak in which a worker leaves starts unanswered and comes back under its identifier before it carries them out. */
import {
	assertNever, createRandomSource, pickInteger, type Milliseconds, type RandomSource,
} from '#core';
import {pick} from './pick.js';
import type {LateReturns, SoakSize, WorkerReturn} from './types.js';

type ReturnKinds = ReadonlyArray<WorkerReturn['kind']>;
/** The incarnation that carries a late start out knows nothing of it, if it is the second after the one that was told: the first confirms the stop. A worker that leaves may confirm it itself. */
const sequences: readonly [ReturnKinds, ...ReturnKinds[]] = [['leave'], ['restart', 'restart'], ['leave', 'restart'], ['restart', 'leave']];

/** Few, since each occupies a worker for seconds. */
const faultsPerSecond = 0.25;
/** Sets the random source apart from those of the other faults and of the callers. */
const seedOffset = 2_000_003;

/** Ranges in milliseconds. Starts are stopped and released after 1.2 s, and carried out up to 12 s late. */
const ranges = {
	interval: [500, 2000],
	delay: [4000, 12_000],
	pause: [1300, 2500],
	down: [50, 600],
	drain: [100, 500],
	away: [100, 600],
} as const satisfies Readonly<Record<string, readonly [Milliseconds, Milliseconds]>>;

/**
Plans late starts whose worker returns.

@example
```
planLateReturns(7, {entries: 3, workers: 5, seconds: 20}).length;
//=> 5
```
*/
export function planLateReturns(seed: number, size: SoakSize): readonly LateReturns[] {
	const random = createRandomSource(seed + seedOffset);
	const count = Math.max(1, Math.round(size.seconds * faultsPerSecond));
	return Array.from({length: count}, () => planFault(Math.floor(random() * size.seconds * 1000), size, random));
}

function planFault(at: Milliseconds, {workers}: SoakSize, random: RandomSource): LateReturns {
	const index = pickInteger(random, workers);
	const [interval, delay] = [draw('interval', random), draw('delay', random)];
	const returns = pick(sequences, random).map(kind => planReturn(kind, random));
	return {
		at, duration: interval + returns.reduce((total, planned) => total + measureReturn(planned), 0), kind: 'late-returns', index, interval, delay, returns,
	};
}

function planReturn(kind: WorkerReturn['kind'], random: RandomSource): WorkerReturn {
	const pause = draw('pause', random);
	switch (kind) {
		case 'restart': {
			return {kind, pause, down: draw('down', random)};
		}

		case 'leave': {
			return {
				kind, pause, drain: draw('drain', random), away: draw('away', random),
			};
		}

		default: {
			return assertNever(kind);
		}
	}
}

function measureReturn(planned: WorkerReturn): Milliseconds {
	switch (planned.kind) {
		case 'restart': {
			return planned.pause + planned.down;
		}

		case 'leave': {
			return planned.pause + planned.drain + planned.away;
		}

		default: {
			return assertNever(planned);
		}
	}
}

function draw(range: keyof typeof ranges, random: RandomSource): Milliseconds {
	const [minimum, maximum] = ranges[range];
	return minimum + pickInteger(random, maximum - minimum);
}
