/** Generates the faults of workers of a soak from its seed. */
import {
	assertNever, createRandomSource, pickInteger, type Milliseconds, type RandomSource,
} from '#core';
import type {Departure} from '#test/support/platform/worker-announcements';
import type {OrderKind} from '#test/support/platform/worker-orders';
import {pick} from './pick.js';
import type {Fault, SoakSize, WorkerFault} from './types.js';

/** Another kind would change the plans of known seeds. */
const workerFaultKinds = ['restart-worker', 'late-orders', 'leave-worker', 'late-announcement'] as const satisfies ReadonlyArray<WorkerFault['kind']>;
type DelayedOrders = readonly OrderKind[];
const delayedOrders: readonly [DelayedOrders, ...DelayedOrders[]] = [['start'], ['stop'], ['hold'], ['start', 'stop'], ['start', 'stop', 'hold']];
const departureKinds = ['confirmed', 'confirmation-lost', 'report-delayed'] as const satisfies ReadonlyArray<Departure['kind']>;

/** Beside the faults of the programs, often enough that several meet at one worker. */
const faultsPerSecond = 0.5;
/** Sets the random source apart from those of the other faults and of the callers. */
const seedOffset = 1_000_003;

/** Ranges in milliseconds; the platform's workers carry out orders up to 12 s late, and end up to some seconds after an unconfirmed departure. */
const ranges = {
	down: [50, 2000],
	silent: [0, 1500],
	interval: [300, 2500],
	delay: [1000, 8000],
	drain: [100, 2000],
	endsAfter: [500, 4000],
	away: [100, 2000],
	reportedAfter: [200, 4000],
} as const satisfies Readonly<Record<string, readonly [Milliseconds, Milliseconds]>>;

export function isWorkerFault(fault: Fault): fault is WorkerFault {
	const kinds: ReadonlyArray<Fault['kind']> = [...workerFaultKinds, 'late-returns'];
	return kinds.includes(fault.kind);
}

export function planWorkerFaults(seed: number, size: SoakSize): readonly WorkerFault[] {
	const random = createRandomSource(seed + seedOffset);
	const count = Math.max(1, Math.round(size.seconds * faultsPerSecond));
	return Array.from({length: count}, () => planWorkerFault(Math.floor(random() * size.seconds * 1000), size, random));
}

function planWorkerFault(at: Milliseconds, {workers}: SoakSize, random: RandomSource): WorkerFault {
	const draw = (range: keyof typeof ranges) => {
		const [minimum, maximum] = ranges[range];
		return minimum + pickInteger(random, maximum - minimum);
	};

	const kind = pick(workerFaultKinds, random);
	const index = pickInteger(random, workers);
	switch (kind) {
		case 'restart-worker': {
			const [down, silent] = [draw('down'), random() < 0.5 ? 0 : draw('silent')];
			return {
				at, duration: down + silent, kind, index, down, silent,
			};
		}

		case 'late-orders': {
			const [orders, duration, delay] = [pick(delayedOrders, random), draw('interval'), draw('delay')];
			return {
				at, duration, kind, index, orders, delay, restart: random() < 0.7 ? {down: draw('down')} : undefined,
			};
		}

		case 'leave-worker': {
			const [drain, away, reportedAfter] = [draw('drain'), draw('away'), draw('reportedAfter')];
			const departure = {kind: pick(departureKinds, random), endsAfter: draw('endsAfter')};
			return {
				at, duration: drain + departure.endsAfter + away + reportedAfter, kind, index, drain, departure, away, identifier: random() < 0.5 ? 'same' : 'new', reportedAfter,
			};
		}

		case 'late-announcement': {
			return {
				at, duration: 0, kind, index,
			};
		}

		default: {
			return assertNever(kind);
		}
	}
}
