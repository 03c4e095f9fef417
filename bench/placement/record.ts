import type {Milliseconds} from '#core';
import {
	gangClasses, type BenchGang, type GangClass, type Result, type Scenario,
} from './types.js';

/** Share of the horizon that is left out, so that the zone is full when measuring begins. */
const warmUpShare = 0.1;

type Fragmentation = Readonly<{physical: number; ruled: number}>;

/** Collects figures of gangs that were submitted after the warm-up. */
export type Recorder = Readonly<{
	recordWait(gang: BenchGang, wait: Milliseconds): void;
	recordCompletion(gang: BenchGang, completion: Milliseconds): void;
	recordUse(gang: BenchGang, from: Milliseconds, until: Milliseconds): void;
	recordEviction(): void;
	recordFragmentation(now: Milliseconds, fragmentation: Fragmentation): void;
	/** Gangs that still wait count with the time they have waited, so that a policy gains nothing by never starting them. */
	close(waiting: readonly BenchGang[], running: ReadonlyArray<Readonly<{gang: BenchGang; startAt: Milliseconds; stopAt?: Milliseconds}>>): void;
	read(): Result;
}>;

export function createResults({horizon, workers}: Scenario): Recorder {
	const warmUp = horizon * warmUpShare;
	const total = workers.reduce((sum, {accelerators}) => sum + accelerators, 0);
	const waits = new Map<GangClass, number[]>(gangClasses.map(gangClass => [gangClass, []]));
	const completions = new Map<GangClass, number[]>(gangClasses.map(gangClass => [gangClass, []]));
	const started = new Set<string>();
	const samples: Fragmentation[] = [];
	let used = 0;
	let evictions = 0;
	const isMeasured = ({request}: BenchGang) => request.submittedAt >= warmUp;

	const recorder: Recorder = {
		recordWait(gang, wait) {
			if (isMeasured(gang) && !started.has(gang.request.job)) {
				started.add(gang.request.job);
				waits.get(gang.gangClass)?.push(wait);
			}
		},
		recordCompletion(gang, completion) {
			if (isMeasured(gang)) {
				completions.get(gang.gangClass)?.push(completion);
			}
		},
		recordUse({request}, from, until) {
			const {members, acceleratorsPerMember} = request.shape;
			used += Math.max(0, Math.min(until, horizon) - Math.max(from, warmUp)) * members * acceleratorsPerMember;
		},
		recordEviction() {
			evictions++;
		},
		recordFragmentation(now, fragmentation) {
			if (now >= warmUp) {
				samples.push(fragmentation);
			}
		},
		close(waiting, running) {
			for (const gang of waiting) {
				recorder.recordWait(gang, horizon - gang.request.submittedAt);
			}

			for (const {gang, startAt} of running.filter(({stopAt}) => stopAt === undefined || stopAt > horizon)) {
				recorder.recordUse(gang, startAt, horizon);
			}
		},
		read: () => ({
			classes: new Map(gangClasses.map(gangClass => {
				const finished = completions.get(gangClass) ?? [];
				return [gangClass, {finished: finished.length, completions: finished, waits: waits.get(gangClass) ?? []}];
			})),
			fragmentation: mean(samples.map(({physical}) => physical)),
			ruledFragmentation: mean(samples.map(({ruled}) => ruled)),
			utilisation: used / (total * (horizon - warmUp)),
			evictions,
		}),
	};
	return recorder;
}

function mean(values: readonly number[]): number {
	return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
