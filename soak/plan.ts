/** Generates the faults of a soak from its seed. */
import {
	assertNever, createRandomSource, pickInteger, type RandomSource,
} from '#core';
import {planClosedZones} from './closed-zones.js';
import {planLateReturns} from './late-returns.js';
import {pick} from './pick.js';
import type {
	Fault, LinkMode, PlanScope, ProgramFault, SoakPlan, SoakSize,
} from './types.js';
import {planWorkerFaults} from './worker-faults.js';

const programFaultKinds = [
	'kill-entry', 'stop-entry', 'pause-entry', 'kill-agent', 'pause-agent', 'store', 'compact-store', 'entry-store-link', 'agent-worker-link', 'late-starts', 'change-configuration',
] as const satisfies ReadonlyArray<ProgramFault['kind']>;
const linkModes = ['delayed', 'silent', 'one-way', 'reset'] as const satisfies readonly LinkMode[];
const storeModes = ['busy', 'losing', 'silent'] as const;

/** Fault rate, high enough for several faults to overlap. */
const faultsPerSecond = 0.7;
const minimumDurationMilliseconds = 300;
/** Below the 6 s that the platform states for network cuts and outages. */
const maximumDurationMilliseconds = 5000;
/** The platform's workers may carry out orders up to 12 s late; shorter here, so that the delay fits into a short run. */
const lateStartMilliseconds = 3000;

/**
Creates a plan; the same seed, size and scope give the same plan. Faults of workers come from random sources of their own, so that they leave those of the programs as they are.

@example
```
planSoak(7, {entries: 3, workers: 5, seconds: 20}).faults.length;
//=> 14
```
*/
export function planSoak(seed: number, size: SoakSize, scope: PlanScope = 'programs'): SoakPlan {
	const random = createRandomSource(seed);
	const count = Math.max(1, Math.round(size.seconds * faultsPerSecond));
	const times = Array.from({length: count}, () => Math.floor(random() * size.seconds * 1000)).toSorted((first, second) => first - second);
	const faults = times.map((at, index) => planFault(at, index, size, random));
	return {
		seed, size, scope, faults: [...faults, ...planFurtherFaults(seed, size, scope)].toSorted((first, second) => first.at - second.at),
	};
}

/** The faults that each scope adds come from a random source of their own. */
function planFurtherFaults(seed: number, size: SoakSize, scope: PlanScope): readonly Fault[] {
	switch (scope) {
		case 'programs': {
			return [];
		}

		case 'programs-and-workers': {
			return planWorkerFaults(seed, size);
		}

		case 'programs-workers-and-late-returns': {
			return [...planWorkerFaults(seed, size), ...planLateReturns(seed, size)];
		}

		case 'programs-and-closed-zones': {
			return planClosedZones(seed, size);
		}

		default: {
			return assertNever(scope);
		}
	}
}

function planFault(at: number, index: number, {entries, workers}: SoakSize, random: RandomSource): ProgramFault {
	const duration = minimumDurationMilliseconds + Math.floor(random() * (maximumDurationMilliseconds - minimumDurationMilliseconds));
	const kind = pick(programFaultKinds, random);
	const base = {at, duration};
	switch (kind) {
		case 'kill-entry':
		case 'stop-entry':
		case 'pause-entry': {
			return {...base, kind, index: pickInteger(random, entries)};
		}

		case 'kill-agent':
		case 'pause-agent': {
			return {...base, kind, index: pickInteger(random, workers)};
		}

		case 'store': {
			return {...base, kind, mode: pick(storeModes, random)};
		}

		case 'compact-store': {
			return {...base, kind};
		}

		case 'entry-store-link': {
			const mode = pick(linkModes, random);
			return {
				...base, kind, index: pickInteger(random, entries), mode,
			};
		}

		case 'agent-worker-link': {
			const mode = pick(linkModes, random);
			return {
				...base, kind, index: pickInteger(random, workers), mode,
			};
		}

		case 'late-starts': {
			return {
				...base, kind, index: pickInteger(random, workers), delay: lateStartMilliseconds,
			};
		}

		case 'change-configuration': {
			return {...base, kind, version: firstChangedVersion + index};
		}

		default: {
			return assertNever(kind);
		}
	}
}

/** Higher than the initial version of a fleet. */
const firstChangedVersion = 10;
