/** Compares the decisions that avoid lost work with those before, under the faults that each addresses. */
import {defaultPolicy, type SchedulingPolicy} from '#scheduling';
import {noFaults, type Faults} from './faults.js';
import {playScenario, type Played} from './model.js';
import {createScenario, type Kind} from './scenarios.js';

const earlierPolicy: SchedulingPolicy = {...defaultPolicy, lastAttempts: 'together', unstableWorkers: 'equal'};

const crestFactor = 2.5;
const hopeless: Faults = {...noFaults, hopelessShare: 0.3, failingShare: 0.002};
const leaving: Faults = {
	...noFaults, leavingShare: 0.15, stayMilliseconds: 12_000, noticeMilliseconds: 2000, awayMilliseconds: 4000,
};

type Comparison = Readonly<{name: string; faults: Faults; policy: SchedulingPolicy; load: Load}>;

/** Jobs of which kinds arrive how often, at how many workers. */
type Load = Readonly<{kinds: readonly Kind[]; workers: number; rates: readonly number[]; length: number}>;

const usualLoad: Load = {
	kinds: ['roster', 'curve', 'layout'], workers: 57, rates: [0.6, 0.9, 1.2], length: 20_000,
};
/** Wide steps that do not run as a whole at once: only these have tasks that wait for the last attempt of another. */
const wideLoad: Load = {
	kinds: ['layout'], workers: 20, rates: [2, 4], length: 60_000,
};

const comparisons: readonly Comparison[] = [
	{
		name: 'last attempts alone, wide jobs that fail for good', faults: hopeless, policy: {...earlierPolicy, lastAttempts: defaultPolicy.lastAttempts}, load: wideLoad,
	},
	{
		name: 'unstable workers last, workers come and go', faults: leaving, policy: {...earlierPolicy, unstableWorkers: defaultPolicy.unstableWorkers}, load: usualLoad,
	},
	{
		name: 'both, no faults', faults: noFaults, policy: defaultPolicy, load: usualLoad,
	},
];
const seeds = [7, 8, 9, 10, 11, 12] as const;

export function benchLosses(): readonly string[] {
	return comparisons.flatMap(({name, faults, policy, load: {kinds, workers, rates, length}}) => rates.map(rate => {
		const play = (played: SchedulingPolicy) => summarize(seeds.map(seed => {
			const scenario = createScenario({
				workers, rate, factor: crestFactor, length, seed,
			});
			return playScenario({...scenario, arrivals: scenario.arrivals.filter(({kind}) => kinds.includes(kind))}, {faults, policy: played});
		}));
		return `${name}, ${workers} workers, ${rate} times the usual rate, ${seeds.length} seeds: before ${play(earlierPolicy)}; now ${play(policy)}`;
	}));
}

function summarize(plays: readonly Played[]): string {
	const jobs = plays.flatMap(played => played.jobs);
	const lost = new Map<string, number>();
	for (const [reason, amount] of plays.flatMap(({lostCoreSeconds}) => [...lostCoreSeconds])) {
		lost.set(reason, (lost.get(reason) ?? 0) + amount);
	}

	const total = [...lost.values()].reduce((sum, amount) => sum + amount, 0);
	const parts = [...lost].filter(([, amount]) => amount > 0).toSorted(([, first], [, second]) => second - first).slice(0, 5).map(([reason, amount]) => `${reason} ${amount}`);
	const earned = jobs.reduce((sum, job) => sum + job.earned, 0) / jobs.reduce((sum, job) => sum + job.owed, 0);
	return `earned ${earned.toFixed(3)}, lost ${total} core-seconds (${parts.join(', ')})`;
}
