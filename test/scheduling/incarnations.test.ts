import {expect} from 'chai';
import type {WorkerId} from '#core';
import {lateCallMilliseconds, type EndedRun} from '#jobs';
import {
	orderDeliveryMilliseconds, startConfirmationMilliseconds, type SchedulerMessage, type StartAnswer,
} from '#scheduling';
import {
	configuration, createDriver, createReadyDriver, endedRunOf, keyOf, snapshotOf, startsOf, stopsOf, submissionOf, taskOf, type Driver,
} from '#test/support/scheduling';

/** The end of the first incarnation of the worker beside an agent. */
function endOf(agent: string, ending: 'left' | 'replaced', ended: readonly EndedRun[] = []): SchedulerMessage {
	return {
		kind: 'incarnation-ended', agent, worker: `w-${agent}` as WorkerId, incarnation: '1', ending, ended,
	};
}

/** Starts a job's only task on the worker beside agent `a`, the only one. */
function startTask(driver: Driver): void {
	const [start] = startsOf(driver.send({kind: 'submitted', submission: submissionOf(1, [{}])}));
	expect(start).to.include({agent: 'a', run: 1});
	driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'started'}]});
}

type Case = Readonly<{name: string; run(): void}>;

const cases: readonly Case[] = [
	...(['left', 'replaced'] as const).map((ending): Case => ({
		name: `an end that a worker listed last counts before its runs are released (${ending}: task started again after it was done)`,
		run() {
			const driver = createReadyDriver([['a']]);
			startTask(driver);
			const effects = [
				...driver.send(endOf('a', ending, [endedRunOf(1, taskOf(1), 1, 'done')])),
				...driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {incarnation: '2'})}),
			];
			expect(startsOf(effects)).to.deep.equal([]);
			expect(driver.state().jobs.get(keyOf(1))?.outcome).to.equal('completed');
		},
	})),
	{
		name: 'a run without a listed end starts elsewhere once its worker has left (task lost with its worker)',
		run() {
			const driver = createReadyDriver([['a']]);
			startTask(driver);
			driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b')});
			expect(startsOf(driver.send(endOf('a', 'left')))).to.deep.include.members([{
				agent: 'b', task: taskOf(1), run: 2, checkpoint: '',
			}]);
		},
	},
	{
		name: 'a report of a silent worker that crosses a start does not release it (two runs of one task)',
		run() {
			const driver = createReadyDriver([['a']]);
			driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b')});
			const silent = snapshotOf('a', {isResponsive: false, isLeaseOver: true});
			expect(startsOf(driver.send({kind: 'renewed', agent: 'a', snapshot: silent}))).to.deep.equal([]);
			driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'started'}]});
			expect(startsOf(driver.send({kind: 'renewed', agent: 'a', snapshot: silent})).map(({agent}) => agent)).to.deep.equal(['b']);
		},
	},
	{
		name: 'an end of an earlier run of a gang\'s member does not stop the present run (gang stopped by a late report)',
		run() {
			const driver = createReadyDriver([['a'], ['b']]);
			driver.send({kind: 'submitted', submission: submissionOf(1, [{count: 2, isGang: true}])});
			const names = [taskOf(1), taskOf(1, 1)];
			const answer = (result: StartAnswer['result']) => names.flatMap(task => {
				const {agent = '', run = 0} = driver.state().jobs.get(keyOf(1))?.tasks.get(task)?.run ?? {};
				return driver.send({kind: 'start-answered', agent, answers: [{task, run, result}]});
			});
			answer('no-room');
			driver.elapse(1000);
			answer('started');
			const effects = driver.send({
				kind: 'incarnation-ended', agent: 'a', worker: 'w-a' as WorkerId, incarnation: '0', ending: 'replaced', ended: [endedRunOf(1, taskOf(1), 1, 'failed')],
			});
			expect(driver.state().jobs.get(keyOf(1))?.tasks.get(taskOf(1))?.run).to.include({run: 2, stage: 'running'});
			expect(stopsOf(effects)).to.deep.equal([]);
		},
	},
	{
		name: 'an unanswered start is stopped on the next incarnation before the task starts elsewhere (agent restarted together with its worker)',
		run() {
			const driver = createReadyDriver([['a']]);
			driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b')});
			driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'unknown'}]});
			const restarted = snapshotOf('a', {incarnation: '2', unansweredStarts: {knownForMilliseconds: 0, starts: []}});
			const effects = driver.send({kind: 'renewed', agent: 'a', snapshot: restarted});
			expect(startsOf(effects)).to.deep.equal([]);
			expect(stopsOf(effects)).to.deep.equal([taskOf(1)]);
			driver.send({
				kind: 'stop-answered', agent: 'a', incarnation: '2', orders: [{task: taskOf(1), run: 1}],
			});
			expect(startsOf(driver.send({kind: 'renewed', agent: 'a', snapshot: restarted}))).to.deep.equal([]);
			driver.elapse(orderDeliveryMilliseconds + lateCallMilliseconds - 250);
			expect(startsOf(driver.send({kind: 'renewed', agent: 'a', snapshot: restarted}))).to.deep.equal([]);
			expect(startsOf(driver.elapse(250)).map(({run}) => run)).to.deep.equal([2]);
			// Nobody knows of a sign that the start was carried out.
			expect(driver.state().jobs.get(keyOf(1))?.tasks.get(taskOf(1))?.crashes).to.deep.equal([]);
		},
	},
	{
		name: 'a stop that the earlier incarnation confirmed is not confirmed by the next one (start carried out by the next incarnation)',
		run() {
			const driver = createReadyDriver([['a']]);
			driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b')});
			driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'unknown'}]});
			driver.elapse(startConfirmationMilliseconds + 250);
			const restarted = snapshotOf('a', {incarnation: '2'});
			driver.send({kind: 'renewed', agent: 'a', snapshot: restarted});
			const confirm = (incarnation: string): SchedulerMessage => ({
				kind: 'stop-answered', agent: 'a', incarnation, orders: [{task: taskOf(1), run: 1}],
			});
			// The agent waited for the run lists after the earlier incarnation's answer.
			driver.send(confirm('1'));
			expect(startsOf(driver.send({kind: 'renewed', agent: 'a', snapshot: restarted}))).to.deep.equal([]);
			expect(driver.state().jobs.get(keyOf(1))?.tasks.get(taskOf(1))?.run).to.include({run: 1, stage: 'stopping', isStopConfirmed: false});
			driver.send(confirm('2'));
			driver.send({kind: 'renewed', agent: 'a', snapshot: restarted});
			expect(driver.state().jobs.get(keyOf(1))?.tasks.get(taskOf(1))?.run?.run).not.to.equal(1);
		},
	},
	{
		name: 'an end of an earlier scheduler\'s run counts although its worker left before this scheduler loaded the jobs (task started again after a takeover)',
		run() {
			const driver = createDriver({epoch: 2});
			driver.send({kind: 'configured', configuration});
			driver.send({kind: 'renewed', agent: 'b', snapshot: snapshotOf('b')});
			driver.send(endOf('a', 'left', [endedRunOf(1, taskOf(1), 1, 'done')]));
			const effects = driver.send({
				kind: 'loaded',
				jobs: [{
					submission: submissionOf(1, [{}]),
					isCancelled: false,
					progress: {outcome: 'running', tasks: {}},
					keyVersion: 1,
				}],
				workers: [],
			});
			expect(startsOf(effects)).to.deep.equal([]);
			expect(driver.state().jobs.get(keyOf(1))?.outcome).to.equal('completed');
		},
	},
];

describe('ends of worker incarnations', () => {
	for (const {name, run} of cases) {
		it(name, run);
	}
});
