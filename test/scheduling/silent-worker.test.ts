/** A worker that answers no start keeps no task from starting where others have room. */
import {expect} from 'chai';
import {lateCallMilliseconds, type JobStep} from '#jobs';
import {
	createReadyDriver, snapshotOf, startsOf, submissionOf, type WorkerOptions,
} from '#test/support/scheduling';

const checkMilliseconds = 250;
const stopMilliseconds = 1500;

type Case = Readonly<{
	name: string;
	step: Partial<JobStep>;
	/** Workers besides the silent one, which is in rack r-1. */
	others: Readonly<Record<string, WorkerOptions>>;
	/** Starts on the silent worker before the task starts elsewhere. */
	attempts: number;
}>;

const inAnotherRack: WorkerOptions = {rack: 'r-2', labels: ['a', 'r-2']};

const cases: readonly Case[] = [
	{
		name: 'a task', step: {}, others: {b: {}}, attempts: 1,
	},
	{
		name: 'a gang', step: {count: 2, accelerators: 4, isGang: true}, others: {b: {}}, attempts: 1,
	},
	{
		name: 'a task whose data are in the rack of the worker', step: {dataRack: 'r-1'}, others: {b: inAnotherRack}, attempts: 2,
	},
	{
		name: 'a gang that fits into one rack only there',
		step: {
			count: 2, accelerators: 4, isGang: true, prefersOneRack: true,
		},
		others: {
			b: {...inAnotherRack, capacity: {processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators: 4}},
			c: {rack: 'r-3', labels: ['a', 'r-3'], capacity: {processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators: 4}},
		},
		attempts: 2,
	},
];

describe('a worker that answers no start is not chosen without end while others have room', () => {
	for (const {name, step, others, attempts} of cases) {
		it(`${name} (job that never ends)`, () => {
			const driver = createReadyDriver([['a']]);
			const orders: Array<Readonly<{task: ReturnType<typeof startsOf>[number]['task']; run: number; at: number}>> = [];
			let elsewhere = 0;
			const handle = (effects: ReturnType<typeof driver.send>) => {
				const starts = startsOf(effects);
				elsewhere += starts.filter(({agent}) => agent !== 'a').length;
				orders.push(...starts.filter(({agent}) => agent === 'a').map(({task, run}) => ({task, run, at: driver.time()})));
				for (const {agent, task, run} of starts) {
					handle(driver.send({kind: 'start-answered', agent, answers: [{task, run, result: agent === 'a' ? 'unknown' : 'started'}]}));
				}
			};

			handle(driver.send({kind: 'submitted', submission: submissionOf(1, [step])}));
			while (elsewhere === 0 && driver.time() < 6 * lateCallMilliseconds) {
				handle(driver.elapse(checkMilliseconds));
				for (const [agent, worker] of Object.entries(others)) {
					handle(driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, worker)}));
				}

				const due = orders.filter(({at}) => driver.time() - at >= stopMilliseconds && driver.time() - at < stopMilliseconds + checkMilliseconds);
				handle(driver.send({
					kind: 'stop-answered', agent: 'a', incarnation: '1', orders: due.map(({task, run}) => ({task, run})),
				}));
				const starts = orders
					.map(({task, run, at}) => ({task, run, remainingMilliseconds: at + lateCallMilliseconds - driver.time()}))
					.filter(({remainingMilliseconds}) => remainingMilliseconds > 0);
				handle(driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {unansweredStarts: {knownForMilliseconds: 60_000, starts}})}));
			}

			expect(elsewhere, 'starts elsewhere').to.equal(step.count ?? 1);
			expect(new Set(orders.map(({run}) => run)).size, 'attempts on the silent worker').to.equal(attempts);
		});
	}
});
