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
const closedMilliseconds = [8000, 18_000] as const;

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
	return [{
		at: pickInteger(random, Math.round(seconds * 1000 * closingShare)), duration: minimum + pickInteger(random, maximum - minimum), kind: 'close-zone', zone: zoneOfWorker(pickInteger(random, zoneCount)),
	}];
}

/** No task starts in a closed zone later than the bound. It counts anew after a fault that keeps the list or an order on its way, up to the extension; a start that the worker carries out late counts from its order. */
export function checkClosedZones({plan: {faults}, startedAt, runs}: History): readonly Violation[] {
	const lateMilliseconds = Math.max(0, ...faults.map(fault => fault.kind === 'late-starts' ? fault.delay : 0));
	return faults.flatMap(closing => {
		if (closing.kind !== 'close-zone') {
			return [];
		}

		const closedAt = startedAt + closing.at;
		const latest = closedAt + boundMilliseconds + extensionMilliseconds + lateMilliseconds;
		const findDeadline = (run: RunRecord) => {
			const ends = faults.filter(fault => startedAt + fault.at < run.startedAt).map(fault => startedAt + fault.at + measureDelay(fault));
			return Math.min(latest, Math.max(closedAt, ...ends) + boundMilliseconds) + slackMilliseconds;
		};

		return runs
			.filter(run => isInZone(run, closing.zone) && run.startedAt > findDeadline(run) && run.startedAt < closedAt + closing.duration)
			.map(run => ({invariant: 'no task starts in a closed zone', job: run.task.split('.')[0] ?? '', detail: `${run.task} run ${run.run} on ${run.worker}, ${run.startedAt - closedAt} ms after ${closing.zone} was closed`}));
	});
}

/** Identifiers of workers begin with their index, as in `i-3`. */
function isInZone({worker}: RunRecord, zone: string): boolean {
	return zoneOfWorker(Number(worker.split('-')[1])) === zone;
}

/** How long a fault keeps a list, an order or a stop on its way. */
function measureDelay(fault: Fault): Milliseconds {
	switch (fault.kind) {
		case 'store':
		case 'entry-store-link':
		case 'agent-worker-link':
		case 'pause-entry':
		case 'pause-agent': {
			return fault.duration;
		}

		case 'late-starts':
		case 'late-orders':
		case 'late-returns': {
			return fault.duration + fault.delay;
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
