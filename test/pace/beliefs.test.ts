/** What is believed of workers and neighbours, and what is not. */
import {expect} from 'chai';
import type {TaskName} from '#jobs';
import {
	beliefMilliseconds, createPaceState, estimateInterference, estimateSpeed, expirePace, recordPace, rememberedOfKind, rememberedPairs, rememberedWindows, rememberedWorkers, type PaceState, type RunSample,
} from '#pace';
import {
	incarnationOf, neighbour, observed, playRuns, type PlayedRuns,
} from '#test/support/pace';

type Case = Readonly<{
	name: string;
	runs: PlayedRuns;
	/** Whether the neighbour is ever believed to slow the observed kind. */
	isInterfering: boolean;
	/** Believed speed of the first worker, within a tenth; undefined if none may be held. */
	firstSpeed?: number | undefined;
}>;

const cases: readonly Case[] = [
	{
		name: 'tasks that slow each other down are detected (tasks stay together that slow each other down)', isInterfering: true, firstSpeed: 1,
		runs: {rateOf: ({hasNeighbour}) => hasNeighbour ? 0.6 : 1},
	},
	{
		name: 'tasks that do not slow each other down are not kept apart (placements changed for nothing)', isInterfering: false, firstSpeed: 1,
		runs: {},
	},
	{
		name: 'speeds of workers are told from their neighbours (uneven workers taken for interference)', isInterfering: false, firstSpeed: 0.8,
		runs: {rateOf: ({worker}) => [0.8, 1, 1.25][worker % 3] ?? 1},
	},
	{
		name: 'a slow worker beside the neighbour is slow (slow worker taken for interference)', isInterfering: false, firstSpeed: 0.2,
		runs: {rateOf: ({worker}) => worker === 0 ? 0.2 : 1, hasNeighbour: (worker, _round, random) => worker === 0 || random() < 0.5},
	},
	{
		name: 'workers that are cold while the neighbour runs there are not (cold worker taken for interference)', isInterfering: false, firstSpeed: undefined,
		runs: {rateOf: ({worker, time}) => worker < 5 && time <= 10_000 ? 0.5 : 1, hasNeighbour: (worker, round) => worker < 5 && round === 0},
	},
	{
		name: 'tasks away from their data are compared among themselves (another rack taken for interference)', isInterfering: false, firstSpeed: 1,
		runs: {rateOf: ({worker}) => worker < 6 ? 0.33 : 1, groupOf: worker => worker < 6 ? 'away' : 'near', hasNeighbour: worker => worker < 6},
	},
	{
		name: 'one long task is no slow worker (long task taken for interference or for a slow worker)', isInterfering: false, firstSpeed: 1,
		runs: {rateOf: ({worker, run}) => worker === 0 && run === 0 ? 1 / 7 : 1, hasNeighbour: (worker, _round, random) => worker === 0 || random() < 0.5},
	},
	{
		name: 'two workers beside the neighbour are too few (worker taken for interference)', isInterfering: false,
		runs: {rateOf: ({hasNeighbour}) => hasNeighbour ? 0.6 : 1, hasNeighbour: (worker, _round, random) => worker < 2 && random() < 0.5},
	},
	{
		name: 'percentages that are none are ignored (belief from a wrong report)', isInterfering: false, firstSpeed: undefined,
		runs: {reportPercent: (percent, worker) => worker === 0 ? [Number.NaN, -1, 101, Infinity][percent % 4] ?? 0 : percent},
	},
	{
		name: 'percentages that decrease are ignored (belief from a wrong report)', isInterfering: false, firstSpeed: undefined,
		runs: {reportPercent: (percent, worker) => worker === 0 ? 100 - percent : percent},
	},
	{
		name: 'runs on three workers are too few to tell their speeds (one worker taken for usual)', isInterfering: false, firstSpeed: undefined,
		runs: {workers: 3},
	},
];

describe('beliefs about workers and neighbours', () => {
	for (const {name, runs, isInterfering, ...expected} of cases) {
		it(name, () => {
			const {beliefs, changes, time} = playRuns(runs);
			expect(changes.some(({kind}) => kind === 'interference-began')).to.equal(isInterfering);
			const factor = estimateInterference(beliefs, observed, neighbour, time);
			expect(factor === undefined || (factor > 0.5 && factor < 0.75)).to.equal(true);
			const speed = estimateSpeed(beliefs, incarnationOf(0), time);
			if (expected.firstSpeed !== undefined) {
				expect((speed ?? 0) / expected.firstSpeed).to.be.within(0.85, 1.15);
			} else if ('firstSpeed' in expected && !name.includes('cold')) {
				expect(speed).to.equal(undefined);
			}
		});
	}
});

type EndCase = Readonly<{name: string; read: (beliefs: PaceState, time: number) => number | undefined}>;

const endCases: readonly EndCase[] = [
	{name: 'the speed of a worker is no longer believed without confirmation (lasting wrong belief)', read: (beliefs, time) => estimateSpeed(beliefs, incarnationOf(1), time)},
	{name: 'interference is no longer believed without confirmation (lasting wrong belief)', read: (beliefs, time) => estimateInterference(beliefs, observed, neighbour, time)},
];

describe('ends of beliefs', () => {
	const {beliefs, time} = playRuns({rateOf: ({hasNeighbour}) => hasNeighbour ? 0.6 : 1});
	for (const {name, read} of endCases) {
		it(name, () => {
			expect(read(beliefs, time)).to.be.a('number');
			expect(read(beliefs, time + beliefMilliseconds)).to.equal(undefined);
			const {state, changes} = expirePace(beliefs, time + beliefMilliseconds);
			expect([state.workers.size, state.interference.size, state.groups.size, state.kinds.size]).to.deep.equal([0, 0, 0, 0]);
			expect(changes.map(({kind}) => kind)).to.include('interference-ended');
		});
	}

	it('another incarnation of a worker has no belief (speed of an earlier machine believed)', () => {
		expect(estimateSpeed(beliefs, incarnationOf(1, '2'), time)).to.equal(undefined);
	});
});

describe('memory of beliefs', () => {
	it('stays bounded with more workers, kinds and runs than the target (memory exhausted by callers\' images)', () => {
		let beliefs = createPaceState();
		for (const time of [2000, 4000]) {
			const samples = Array.from({length: 30_000}, (_, index): RunSample => ({
				task: `t-${index}` as TaskName, run: 1, worker: incarnationOf(index % 6000), group: `g-${index % 700}`, kind: `k-${index % 700}`, neighbours: [`k-${index % 300}`],
				percent: time / 100, at: time, baseline: {percent: 0, at: 0}, isEnded: false,
			}));
			beliefs = recordPace(beliefs, samples, time).state;
		}

		expect(beliefs.windows.size).to.be.at.most(rememberedWindows);
		expect(beliefs.workers.size).to.be.at.most(rememberedWorkers);
		expect(beliefs.groups.size).to.be.at.most(512);
		expect(beliefs.kinds.size).to.be.at.most(64);
		expect(Math.max(...[...beliefs.kinds.values()].map(({length}) => length))).to.be.at.most(rememberedOfKind);
		expect(beliefs.interference.size).to.be.at.most(rememberedPairs);
	});
});
