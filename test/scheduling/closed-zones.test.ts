import {expect} from 'chai';
import type {SchedulerEffect, SchedulerMessage} from '#scheduling';
import {
	configuration, createDriver, createReadyDriver, reportedRunOf, snapshotOf, startsOf, stopsOf, submissionOf, taskOf, type Driver, type WorkerOptions,
} from '#test/support/scheduling';
import {closedZonesOf} from '#test/support/zones';
import {noClosedZones} from '#zones';

const observed = (revision: number, ...zones: readonly string[]): SchedulerMessage => ({kind: 'zones-observed', zones: closedZonesOf(revision, ...zones)});
const submitted = (...parameters: Parameters<typeof submissionOf>): SchedulerMessage => ({kind: 'submitted', submission: submissionOf(...parameters)});
const answered = (agent: string, result: 'started' | 'zone-closed', ...tasks: ReadonlyArray<ReturnType<typeof taskOf>>): SchedulerMessage => ({
	kind: 'start-answered', agent, answers: tasks.map(task => ({task, run: 1, result})),
});
const agentsOf = (effects: readonly SchedulerEffect[]) => startsOf(effects).map(({agent}) => agent);
const logsOf = (effects: readonly SchedulerEffect[], event: string) => effects.flatMap(effect => effect.kind === 'log' && effect.event === event ? [effect.fields] : []);
const reasonsOf = (effects: readonly SchedulerEffect[]) => [...new Set(logsOf(effects, 'work-waits').map(({reason}) => reason))];

const gang = {
	count: 2, accelerators: 8, isGang: true, estimatedMilliseconds: 100,
};
const fullWorker = {accelerators: 8};

type Case = Readonly<{name: string; workers: ReadonlyArray<readonly [string, WorkerOptions]>; run(driver: Driver): void}>;

const twoZones: Case['workers'] = [['a', {zone: 'z1'}], ['b', {zone: 'z2', rack: 'r-2', labels: ['a', 'r-2', 'special']}]];

const cases: readonly Case[] = [
	{
		name: 'no task starts in a closed zone until it is opened, also after it was opened and closed (start in a closed zone)',
		workers: [['a', {zone: 'z1'}]],
		run(driver) {
			driver.send(observed(1, 'z1'));
			expect(agentsOf(driver.send(submitted(1, [{}])))).to.deep.equal([]);
			expect(agentsOf(driver.send(observed(2)))).to.deep.equal(['a']);
			driver.send(observed(3, 'z1'));
			expect(agentsOf(driver.send(submitted(2, [{}])))).to.deep.equal([]);
		},
	},
	{
		name: 'an older list opens and closes nothing (list of another entry that is late)',
		workers: twoZones,
		run(driver) {
			driver.send(observed(5, 'z1'));
			driver.send({kind: 'zones-observed', zones: noClosedZones});
			driver.send(observed(4, 'z2'));
			expect(agentsOf(driver.send(submitted(1, [{}])))).to.deep.equal(['b']);
		},
	},
	{
		name: 'with several zones closed, work goes to the open one, and what runs in the others stays (running work stopped)',
		workers: [...twoZones, ['c', {zone: 'z3'}]],
		run(driver) {
			driver.send(submitted(1, [{count: 3, maximumPerWorker: 1}]));
			for (const [index, agent] of ['a', 'b', 'c'].entries()) {
				driver.send(answered(agent, 'started', taskOf(1, index)));
			}

			driver.send(observed(1, 'z1', 'z2'));
			expect(agentsOf(driver.send(submitted(2, [{count: 4}])))).to.deep.equal(['c', 'c', 'c', 'c']);
			for (const [index, agent] of ['a', 'b', 'c'].entries()) {
				driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, {zone: `z${index + 1}`, running: [reportedRunOf(taskOf(1, index), 1)]})});
			}

			expect(stopsOf(driver.elapse(300)).filter(task => task.startsWith(submissionOf(1, []).job))).to.deep.equal([]);
		},
	},
	{
		name: 'a gang that would span a closed zone waits as a whole, with the reason in the logs (part of a gang)',
		workers: twoZones,
		run(driver) {
			driver.send(observed(1, 'z2'));
			driver.send(submitted(1, [gang]));
			const effects = driver.elapse(3000);
			expect({starts: agentsOf(effects), reasons: reasonsOf(effects)}).to.deep.equal({starts: [], reasons: ['zone-closed']});
			expect(agentsOf(driver.send(observed(2)))).to.have.members(['a', 'b']);
		},
	},
	{
		name: 'a gang of which one order was not sent does not run with the others (part of a gang)',
		workers: [...twoZones, ['c', {zone: 'z3'}]],
		run(driver) {
			const agents = agentsOf(driver.send(submitted(1, [gang])));
			const [first, second] = agents;
			const zoneOf = {a: 'z1', b: 'z2', c: 'z3'}[second as 'a' | 'b' | 'c'];
			driver.send(answered(first!, 'started', taskOf(1, 0)));
			driver.send(observed(1, zoneOf));
			expect(stopsOf(driver.send(answered(second!, 'zone-closed', taskOf(1, 1))))).to.deep.equal([taskOf(1, 0)]);
		},
	},
	{
		name: 'a guarantee whose room was in a closed zone takes room elsewhere (guarantee not reclaimed)',
		workers: twoZones,
		run(driver) {
			driver.send(observed(1, 'z2'));
			driver.send(submitted(1, [fullWorker]));
			driver.send(answered('a', 'started', taskOf(1)));
			expect(stopsOf([...driver.send(submitted(2, [fullWorker], {priority: 0})), ...driver.elapse(1200)])).to.include(taskOf(1));
		},
	},
	{
		name: 'room that was claimed in a zone is given up when the zone closes (start on a claim)',
		workers: [['a', {zone: 'z1'}], ['b', {zone: 'z2'}]],
		run(driver) {
			driver.send(submitted(1, [{...fullWorker, count: 2}]));
			driver.send(answered('a', 'started', taskOf(1, 0)));
			driver.send(answered('b', 'started', taskOf(1, 1)));
			const stopped = stopsOf([...driver.send(submitted(2, [fullWorker], {priority: 0})), ...driver.elapse(1000)]);
			const agent = stopped[0] === taskOf(1, 0) ? 'a' : 'b';
			const zone = agent === 'a' ? 'z1' : 'z2';
			driver.send(observed(1, zone));
			const effects = driver.send({
				kind: 'renewed', agent, snapshot: snapshotOf(agent, {
					zone, ended: [{
						number: 1, task: stopped[0]!, run: 1, ending: 'stopped', checkpoint: '',
					}],
				}),
			});
			expect({stopped: stopped.length, starts: agentsOf(effects)}).to.deep.equal({stopped: 1, starts: []});
		},
	},
	{
		name: 'work whose label is only in a closed zone waits, with the reason in the logs (wait that nobody can explain)',
		workers: twoZones,
		run(driver) {
			driver.send(observed(1, 'z2'));
			driver.send(submitted(1, [{requiredLabel: 'special'}]));
			const effects = driver.elapse(3000);
			expect({starts: agentsOf(effects), reasons: reasonsOf(effects)}).to.deep.equal({starts: [], reasons: ['zone-closed']});
		},
	},
	{
		name: 'work whose data is in a closed zone runs elsewhere (wait for a rack that cannot be used)',
		workers: twoZones,
		run(driver) {
			driver.send(observed(1, 'z2'));
			expect(agentsOf(driver.send(submitted(1, [{dataRack: 'r-2'}])))).to.deep.equal(['a']);
		},
	},
	{
		name: 'a start that is not confirmed when its zone closes is stopped and repeated elsewhere (late start in a closed zone)',
		workers: twoZones,
		run(driver) {
			const [agent] = agentsOf(driver.send(submitted(1, [{}])));
			driver.send(observed(1, agent === 'a' ? 'z1' : 'z2'));
			expect(stopsOf(driver.elapse(750))).to.deep.equal([taskOf(1)]);
		},
	},
	{
		name: 'a zone without workers is logged once (misspelt key that closes nothing)',
		workers: twoZones,
		run(driver) {
			driver.send(observed(1, 'z-1', 'z1'));
			expect(logsOf(driver.elapse(20_000), 'closed-zone-without-workers')).to.deep.equal([{zone: 'z-1', revision: 1}]);
		},
	},
	{
		name: 'an opened zone gets load on its warm workers first, and on cold ones before work waits (capacity that stays unused)',
		workers: [['a', {zone: 'z1', coldForMilliseconds: 9000}], ['b', {zone: 'z2'}]],
		run(driver) {
			const starts = [1, 2].flatMap(job => agentsOf(driver.send(submitted(job, [fullWorker]))));
			expect(starts).to.deep.equal(['b', 'a']);
		},
	},
];

describe('scheduling with closed zones', () => {
	for (const {name, workers, run} of cases) {
		it(name, () => {
			run(createReadyDriver(workers));
		});
	}

	it('a new scheduler knows the zones that were closed before its first start (start right after a takeover)', () => {
		const driver = createDriver({epoch: 2});
		driver.send({kind: 'configured', configuration});
		driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {zone: 'z1'})});
		driver.send(observed(1, 'z1'));
		const submission = submissionOf(1, [{}]);
		const effects = driver.send({
			kind: 'loaded', workers: [], jobs: [{
				submission, isCancelled: false, progress: undefined, keyVersion: 0,
			}],
		});
		expect(agentsOf([...effects, ...driver.elapse(20_000)])).to.deep.equal([]);
	});
});
