/** Gangs resume as a whole from the newest checkpoint that a worker reported for one of their members. */
import {expect} from 'chai';
import * as fastCheck from 'fast-check';
import {describeProgress} from '#scheduling';
import type {EndedRun, JobProgress} from '#jobs';
import {
	configuration, createDriver, createReadyDriver, keyOf, reportedRunOf, snapshotOf, startsOf, stopsOf, submissionOf, taskOf, type Driver,
} from '#test/support/scheduling';

const gang = {
	count: 2, accelerators: 8, isGang: true, isCheckpointing: true, estimatedMilliseconds: 60_000,
} as const;

type Case = Readonly<{
	name: string;
	/** Checkpoint of every member of the next start. */
	checkpoint: string;
	/** What happens while member 0 runs on worker `a` and member 1 on `b`. */
	act(driver: Driver): void;
}>;

function report(driver: Driver, agent: 'a' | 'b', checkpoint: string, percent: number) {
	driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, {running: [reportedRunOf(taskOf(1, agent === 'a' ? 0 : 1), 1, percent, checkpoint)]})});
}

function reportEnd(driver: Driver, agent: 'a' | 'b', end: EndedRun) {
	driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, {ended: [end]})});
}

function endOf(agent: 'a' | 'b', ending: EndedRun['ending'], checkpoint = '', number = 1): EndedRun {
	return {
		number, task: taskOf(1, agent === 'a' ? 0 : 1), run: 1, ending, checkpoint,
	};
}

function leave(driver: Driver, agent: 'a' | 'b', ended: readonly EndedRun[] = [], ending: 'left' | 'replaced' = 'left') {
	driver.send({
		kind: 'incarnation-ended', agent, worker: snapshotOf(agent).worker, incarnation: '1', ending, ended,
	});
}

const cases: readonly Case[] = [
	{
		name: 'the value of a member whose worker left without an end (gang repeats what only that member had saved)',
		checkpoint: 'a-60',
		act(driver) {
			report(driver, 'a', 'a-60', 60);
			report(driver, 'b', 'b-40', 40);
			leave(driver, 'a');
			reportEnd(driver, 'b', endOf('b', 'stopped'));
		},
	},
	{
		name: 'the value of an end that was reported only with the end of its incarnation (value of the last run lost)',
		checkpoint: 'a-70',
		act(driver) {
			report(driver, 'a', 'a-50', 50);
			report(driver, 'b', 'b-55', 55);
			report(driver, 'a', 'a-50', 70);
			leave(driver, 'a', [endOf('a', 'broken', 'a-70')]);
			reportEnd(driver, 'b', endOf('b', 'stopped'));
		},
	},
	{
		name: 'the value of an end that was reported after the next incarnation (value of a broken gang lost)',
		checkpoint: 'a-70',
		act(driver) {
			report(driver, 'a', 'a-50', 50);
			report(driver, 'b', 'b-55', 55);
			report(driver, 'a', 'a-50', 70);
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {incarnation: '2'})});
			leave(driver, 'a', [endOf('a', 'broken', 'a-70')], 'replaced');
			reportEnd(driver, 'b', endOf('b', 'stopped'));
		},
	},
	{
		name: 'the newer of two values although the other member has progressed further since (progress without a new value taken for a new value)',
		checkpoint: 'b-55',
		act(driver) {
			report(driver, 'a', 'a-50', 50);
			report(driver, 'b', 'b-55', 55);
			report(driver, 'a', 'a-50', 62);
			reportEnd(driver, 'a', endOf('a', 'broken'));
			reportEnd(driver, 'b', endOf('b', 'stopped'));
		},
	},
	{
		name: 'the value with which a member failed (value of a failed run lost)',
		checkpoint: 'b-30',
		act(driver) {
			report(driver, 'a', 'a-20', 20);
			report(driver, 'b', 'b-20', 30);
			reportEnd(driver, 'b', endOf('b', 'failed', 'b-30'));
			reportEnd(driver, 'a', endOf('a', 'broken', 'a-20'));
		},
	},
	{
		name: 'no value if no member reported one (value of another task used)',
		checkpoint: '',
		act(driver) {
			report(driver, 'a', '', 60);
			leave(driver, 'a');
			reportEnd(driver, 'b', endOf('b', 'stopped'));
		},
	},
];

describe('a gang resumes with all members from', () => {
	for (const {name, checkpoint, act} of cases) {
		it(name, () => {
			const driver = createReadyDriver([['a'], ['b']]);
			const starts = startsOf(driver.send({kind: 'submitted', submission: submissionOf(1, [gang])}));
			for (const {agent, task, run} of starts) {
				driver.send({kind: 'start-answered', agent, answers: [{task, run, result: 'started'}]});
			}

			// Another job's value must not be used.
			const other = startsOf([...driver.send({kind: 'renewed', agent: 'x', snapshot: snapshotOf('x')}), ...driver.send({kind: 'submitted', submission: submissionOf(2, [{...gang, count: 1}])})]);
			driver.send({kind: 'renewed', agent: 'x', snapshot: snapshotOf('x', {running: other.map(({task, run}) => reportedRunOf(task, run, 90, 'other-90'))})});
			const restarted: string[] = [];
			const watched: Driver = {
				...driver,
				send(message) {
					const effects = driver.send(message);
					restarted.push(...startsOf(effects).filter(({task}) => task.startsWith(keyOf(1))).map(start => start.checkpoint));
					return effects;
				},
			};
			act(watched);
			for (const agent of ['c', 'd']) {
				watched.send({kind: 'renewed', agent, snapshot: snapshotOf(agent)});
			}

			expect(restarted).to.deep.equal([checkpoint, checkpoint]);
		});
	}

	it('the newest stored value under the next scheduler (value of the first member used, however old it is)', () => {
		const driver = createReadyDriver([['a'], ['b']]);
		driver.send({kind: 'submitted', submission: submissionOf(1, [gang])});
		report(driver, 'a', 'a-40', 40);
		report(driver, 'b', 'b-60', 60);
		const progress: JobProgress = describeProgress(driver.state().jobs.get(keyOf(1))!);
		const next = createDriver({epoch: 2});
		next.send({kind: 'configured', configuration});
		next.send({
			kind: 'loaded', workers: [], jobs: [{
				submission: submissionOf(1, [gang]), isCancelled: false, progress, keyVersion: 5,
			}],
		});
		const starts = startsOf(['c', 'd'].flatMap(agent => next.send({kind: 'renewed', agent, snapshot: snapshotOf(agent)})));
		expect(starts.map(({checkpoint}) => checkpoint)).to.deep.equal(['b-60', 'b-60']);
	});

	it('the value of a member that the next scheduler adopted and then lost (value reported once not recorded)', () => {
		const driver = createDriver({epoch: 2});
		driver.send({kind: 'configured', configuration});
		driver.send({
			kind: 'loaded', workers: [], jobs: [{
				submission: submissionOf(1, [gang]), isCancelled: false, progress: {outcome: 'running', tasks: {}, agents: ['a', 'b']}, keyVersion: 5,
			}],
		});
		report(driver, 'a', 'a-60', 60);
		report(driver, 'b', 'b-40', 40);
		leave(driver, 'a');
		reportEnd(driver, 'b', endOf('b', 'stopped'));
		const starts = startsOf(['c', 'd'].flatMap(agent => driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent)})));
		expect(starts.map(({checkpoint}) => checkpoint)).to.deep.equal(['a-60', 'a-60']);
	});
});

type NoticeCase = Readonly<{name: string; isCheckpointing: boolean; percent: number; leavesInMilliseconds: number; stopped: number}>;

/** The gang takes 60 s, so that 20% of it take 12 s. */
const noticeCases: readonly NoticeCase[] = [
	{
		name: 'a gang that saves checkpoints is stopped as a whole (half of the gang runs on)', isCheckpointing: true, percent: 20, leavesInMilliseconds: 2000, stopped: 2,
	},
	{
		name: 'a gang that ends before the worker leaves runs on (stopped without need)', isCheckpointing: true, percent: 20, leavesInMilliseconds: 60_000, stopped: 0,
	},
	{
		name: 'a gang that cannot save its progress runs on, since workers often stay longer (work discarded at the notice)', isCheckpointing: false, percent: 20, leavesInMilliseconds: 2000, stopped: 0,
	},
];

describe('at the notice that a worker leaves', () => {
	for (const {name, isCheckpointing, percent, leavesInMilliseconds, stopped} of noticeCases) {
		it(name, () => {
			const driver = createReadyDriver([['a'], ['b']]);
			const starts = startsOf(driver.send({kind: 'submitted', submission: submissionOf(1, [{...gang, isCheckpointing}])}));
			for (const {agent, task, run} of starts) {
				driver.send({kind: 'start-answered', agent, answers: [{task, run, result: 'started'}]});
			}

			for (let reached = 0; reached <= percent; reached++) {
				for (const agent of ['a', 'b'] as const) {
					report(driver, agent, isCheckpointing ? `${agent}-${reached}` : '', reached);
				}

				driver.elapse(600);
			}

			const running = [reportedRunOf(taskOf(1, 0), 1, percent, isCheckpointing ? `a-${percent}` : '')];
			driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {state: 'draining', leavesInMilliseconds, running})});
			expect(stopsOf(driver.elapse(250))).to.have.length(stopped);
		});
	}
});

type Action = Readonly<{agent: 'a' | 'b' | 'c' | 'd'; kind: 'report' | 'end' | 'leave' | 'wait'; percent: number}>;

const actions = fastCheck.array(fastCheck.record<Action>({
	agent: fastCheck.constantFrom('a', 'b', 'c', 'd'), kind: fastCheck.constantFrom('report', 'report', 'end', 'leave', 'wait'), percent: fastCheck.integer({min: 0, max: 99}),
}), {minLength: 10, maxLength: 60});

/** Plays reports, ends and departures of the workers of two gangs, and checks each start. */
function playActions(played: readonly Action[]): void {
	const driver = createReadyDriver([['a'], ['b'], ['c'], ['d']]);
	const reported = new Set<string>();
	const incarnations = new Map<string, number>();
	const endedRuns = new Map<string, EndedRun[]>();
	const check = (effects: ReturnType<Driver['send']>) => {
		const valuesByRun = new Map<string, Set<string>>();
		for (const {task, run, checkpoint} of startsOf(effects)) {
			const job = task.slice(0, 16);
			expect(checkpoint === '' || (checkpoint.startsWith(job) && reported.has(checkpoint)), `${task} starts from ${checkpoint}`).to.equal(true);
			valuesByRun.set(`${job} ${run}`, (valuesByRun.get(`${job} ${run}`) ?? new Set()).add(checkpoint));
		}

		expect([...valuesByRun.values()].every(({size}) => size === 1), 'members of one start have one value').to.equal(true);
	};

	const saveCheckpoint = (task: string) => {
		const checkpoint = `${task}#${reported.size}`;
		reported.add(checkpoint);
		return checkpoint;
	};

	for (const number of [1, 2]) {
		check(driver.send({kind: 'submitted', submission: submissionOf(number, [gang])}));
	}

	for (const {agent, kind, percent} of played) {
		const incarnation = String(incarnations.get(agent) ?? 1);
		const tasks = [...driver.state().jobs.values()].flatMap(job => [...job.tasks]);
		const runs = tasks.flatMap(([task, {run}]) => run?.agent === agent && run.incarnation.incarnation === incarnation ? [{task, run: run.run}] : []);
		const ended = endedRuns.get(agent) ?? [];
		if (kind === 'wait') {
			check(driver.elapse(250));
		} else if (kind === 'leave') {
			const last = runs.map(({task, run}, index): EndedRun => ({
				number: ended.length + index + 1, task, run, ending: 'broken', checkpoint: saveCheckpoint(task),
			}));
			check(driver.send({
				kind: 'incarnation-ended', agent, worker: snapshotOf(agent).worker, incarnation, ending: 'left', ended: last,
			}));
			incarnations.set(agent, Number(incarnation) + 1);
			endedRuns.delete(agent);
		} else {
			const ends = kind === 'end' ? runs.slice(0, 1) : [];
			ended.push(...ends.map(({task, run}, index): EndedRun => ({
				number: ended.length + index + 1, task, run, ending: 'broken', checkpoint: saveCheckpoint(task),
			})));
			endedRuns.set(agent, ended);
			const running = runs.filter(run => !ends.includes(run)).map(({task, run}) => reportedRunOf(task, run, percent, saveCheckpoint(task)));
			check(driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, {incarnation, running, ended: [...ended]})}));
		}
	}
}

it('each start carries one value that was reported for a member of its own gang (value of another gang, or values that differ)', () => {
	fastCheck.assert(fastCheck.property(actions, played => {
		playActions(played);
	}), {seed: 11, numRuns: 150});
});
