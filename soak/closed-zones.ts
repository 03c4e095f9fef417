/** Closes and opens a zone during a soak, and checks that no task starts there meanwhile. */
import {
	assertNever, createRandomSource, pickInteger, type Milliseconds,
} from '#core';
import type {
	Fault, History, ProgramFault, RunRecord, SoakSize, Violation,
} from './types.js';

export type ClosedZoneFault = Extract<ProgramFault, {kind: 'close-zone'}>;

const zoneCount = 2;
/** Sets the random source apart from those of the other faults and of the callers. */
const seedOffset = 3_000_003;
/** Share of the soak in which the zone is closed, so that submissions follow. */
const closingShare = 0.2;
/** Range of the time for which it stays closed, longer than the bounds below allow starts. */
const closedMilliseconds = [10_000, 16_000] as const;

/** The sites of the users' platform set these bounds: after the store acknowledged the closing, and in addition while it turns some machines away. */
const boundMilliseconds = 5000;
const extensionMilliseconds = 8000;
/** Faults are injected a little later than planned on a busy machine. */
const slackMilliseconds = 500;

/** Workers alternate between the zones. */
export function zoneOfWorker(index: number): string {
	return `z-${index % zoneCount}`;
}

export function planClosedZones(seed: number, {seconds}: SoakSize): readonly ClosedZoneFault[] {
	const random = createRandomSource(seed + seedOffset);
	const [minimum, maximum] = closedMilliseconds;
	const zone = zoneOfWorker(pickInteger(random, zoneCount));
	const duration = minimum + pickInteger(random, maximum - minimum);
	return [{
		at: pickInteger(random, Math.round(seconds * 1000 * closingShare)), duration, kind: 'close-zone', zone,
	}];
}

/** No task starts in a closed zone later than the bound. */
export function checkClosedZones({plan: {faults}, startedAt, runs}: History): readonly Violation[] {
	return faults.filter(fault => fault.kind === 'close-zone').flatMap(({at, duration, zone}) => runs
		.map(run => ({run, sinceClosed: run.startedAt - startedAt - at, worker: indexOfWorker(run)}))
		.filter(({sinceClosed, worker}) => zoneOfWorker(worker) === zone && sinceClosed < duration && sinceClosed > findBound(faults, at, worker) + slackMilliseconds)
		.map(({run: {task, run, worker}, sinceClosed}) => ({
			invariant: 'no task starts in a closed zone', job: task.split('.')[0] ?? '', detail: `${task} run ${run} on ${worker}, ${sinceClosed} ms after ${zone} was closed`,
		})));
}

/** How long after the closing a worker may get starts. A fault that keeps the list, or an order that was decided before, on its way makes the bound count anew, up to the extension; later ones take nothing back. */
function findBound(faults: readonly Fault[], closedAt: Milliseconds, worker: number): Milliseconds {
	const delaying = faults
		.map(fault => ({from: fault.at - closedAt, until: fault.at - closedAt + measureDelay(fault, worker)}))
		.filter(({from, until}) => until > Math.max(0, from))
		.toSorted((first, second) => first.from - second.from);
	return delaying.reduce((bound, {from, until}) => from < bound ? Math.min(boundMilliseconds + extensionMilliseconds, Math.max(bound, until + boundMilliseconds)) : bound, boundMilliseconds);
}

/** Identifiers of workers begin with their index, as in `i-3`. */
function indexOfWorker({worker}: RunRecord): number {
	return Number(worker.split('-')[1]);
}

/** How long a fault keeps a list, or an order to a worker or its stop, on its way. */
function measureDelay(fault: Fault, worker: number): Milliseconds {
	switch (fault.kind) {
		case 'store':
		case 'entry-store-link':
		case 'pause-entry': {
			return fault.duration;
		}

		case 'agent-worker-link':
		case 'pause-agent': {
			return fault.index === worker ? fault.duration : 0;
		}

		case 'late-starts':
		case 'late-orders':
		case 'late-returns': {
			return fault.index === worker ? fault.duration + fault.delay : 0;
		}

		case 'kill-entry':
		case 'stop-entry':
		case 'kill-agent':
		case 'compact-store':
		case 'change-configuration':
		case 'close-zone':
		case 'restart-worker':
		case 'leave-worker':
		case 'late-announcement': {
			return 0;
		}

		default: {
			return assertNever(fault);
		}
	}
}
