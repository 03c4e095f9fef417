/** Rates of runs on uneven workers: the speed of the worker, the effect of neighbours, and for gangs the slowest member. */
import {createRandomSource, type MonotonicTime} from '#core';
import {parseTaskName, type JobStep} from '#jobs';
import {
	createPaceState, estimateSpeed, keyOfWorker, type PaceState,
} from '#pace';
import type {SchedulerState} from '#scheduling';
import type {Played} from './model.js';
import type {Scenario} from './scenarios.js';
import type {RatedRun, SimulatedWorker} from './workers.js';

/** How much slower some workers turn, and for how long, as the deployment states it. */
const slowFactor = 0.2;
const slowMilliseconds = 6000;
/** Share of the scenario after which the believed speeds are compared with the real ones. */
const judgedShare = 0.6;
/** Beliefs within this factor of the real speed name the right step of 0.8, 1 and 1.25. */
const speedTolerance = 1.12;

export type Rates = Readonly<{
	/** Factor by which the duration of one task differs from that of its step. */
	drawLength(): number;
	/** Sets the rate of every run from the present neighbours. */
	update(time: MonotonicTime): void;
	noteBeliefs(state: SchedulerState, time: MonotonicTime): void;
	/** What a scheduler that knows the real speeds believes. */
	findBeliefs(time: MonotonicTime): PaceState;
	describe(): Pick<Played, 'coreSeconds' | 'slowedCoreSeconds' | 'believedPairs' | 'wrongPairs' | 'believedSpeeds' | 'wrongSpeeds'>;
}>;

type PlacedRun = Readonly<{worker: SimulatedWorker; run: RatedRun; own: number; interference: number}>;

export function createRates({unevenness, length}: Scenario, workers: readonly SimulatedWorker[], seed: number): Rates {
	if (unevenness === undefined) {
		const none = {
			coreSeconds: 0, slowedCoreSeconds: 0, believedPairs: 0, wrongPairs: 0, believedSpeeds: 0, wrongSpeeds: 0,
		};
		return {
			drawLength: () => 1, update: () => undefined, noteBeliefs: () => undefined, findBeliefs: () => createPaceState(), describe: () => none,
		};
	}

	const random = createRandomSource(seed + 2);
	const {speeds, slowShare, interference, durationSpread} = unevenness;
	const natures = new Map(workers.map(worker => [worker, {
		speed: speeds[Math.floor(random() * speeds.length)] ?? 1, slowFrom: random() < slowShare ? random() * length : Infinity,
	}]));
	const speedOf = (worker: SimulatedWorker, time: MonotonicTime) => {
		const {speed = 1, slowFrom = Infinity} = natures.get(worker) ?? {};
		return time >= slowFrom && time < slowFrom + slowMilliseconds ? speed * slowFactor : speed;
	};

	const factors = new Map(interference.map(({image, neighbour, factor}) => [`${image} | ${neighbour}`, factor]));
	const believed = new Set<string>();
	let speedCounts: ReturnType<typeof countSpeeds> | undefined;
	let known = {at: -1, beliefs: createPaceState()};
	let updatedAt = 0;
	let coreSeconds = 0;
	let slowedCoreSeconds = 0;
	const rateRuns = (worker: SimulatedWorker, time: MonotonicTime): readonly PlacedRun[] => {
		const runs = worker.listRuns();
		const speed = speedOf(worker, time);
		return runs.map(run => {
			const images = new Set(runs.filter(other => other !== run).map(({step}) => step.image));
			const slowed = [...images].reduce((product, image) => product * (factors.get(`${run.step.image} | ${image}`) ?? 1), 1);
			return {
				worker, run, own: speed * slowed, interference: slowed,
			};
		});
	};

	const countSpeeds = (beliefs: PaceState, time: MonotonicTime) => {
		const estimates = workers.flatMap(worker => {
			const estimate = estimateSpeed(beliefs, worker.describe(time), time);
			return estimate === undefined ? [] : [{estimate, speed: speedOf(worker, time)}];
		});
		return {
			believedSpeeds: estimates.length,
			wrongSpeeds: estimates.filter(({estimate, speed}) => Math.max(estimate / speed, speed / estimate) > speedTolerance).length,
		};
	};

	return {
		drawLength: () => 1 + (durationSpread * ((2 * random()) - 1)),
		update(time) {
			const placed = workers.flatMap(worker => rateRuns(worker, time));
			const slowest = new Map<string, number>();
			for (const {run, own} of placed) {
				slowest.set(gangOf(run), Math.min(own, slowest.get(gangOf(run)) ?? Infinity));
			}

			for (const {worker, run, interference: factor} of placed) {
				const work = coresOf(run.step) * (time - updatedAt) / 1000;
				coreSeconds += work;
				slowedCoreSeconds += factor < 1 ? work : 0;
				worker.setRate(run.task, slowest.get(gangOf(run)) ?? 1, time);
			}

			updatedAt = time;
		},
		noteBeliefs({pace: {beliefs}}, time) {
			if (speedCounts === undefined && time >= length * judgedShare) {
				speedCounts = countSpeeds(beliefs, time);
			}

			for (const key of beliefs.interference.keys()) {
				believed.add(key);
			}
		},
		findBeliefs(time) {
			if (known.at !== time) {
				known = {
					at: time,
					beliefs: {
						...createPaceState(), workers: new Map(workers.map(worker => {
							const incarnation = worker.describe(time);
							return [keyOfWorker(incarnation), {
								worker: incarnation, observations: [], speed: speedOf(worker, time), until: Infinity,
							}];
						})),
					},
				};
			}

			return known.beliefs;
		},
		describe: () => ({
			coreSeconds,
			slowedCoreSeconds,
			believedPairs: believed.size,
			wrongPairs: [...believed].filter(key => !factors.has(key)).length,
			...(speedCounts ?? {believedSpeeds: 0, wrongSpeeds: 0}),
		}),
	};
}

/** Members of a gang share a rate; other tasks have their own. */
function gangOf({task, step}: RatedRun): string {
	const {job, occurrence, step: index} = parseTaskName(task);
	return step.isGang ? `${job} ${occurrence} ${index}` : task;
}

function coresOf({processorMillicores, accelerators}: JobStep): number {
	return (processorMillicores / 1000) + (8 * accelerators);
}
