/** What waiting gangs, and work that waits for its rack, keep from other work, and for how long. */
import {expect} from 'chai';
import type {JobStep} from '#jobs';
import {
	createReadyDriver, snapshotOf, reportedRunOf, endedRunOf, startsOf, submissionOf, taskOf, type Driver, type WorkerOptions,
} from '#test/support/scheduling';

/** Three of the four workers are in one rack. */
const workers: ReadonlyArray<readonly [string, WorkerOptions]> = [['a', {}], ['b', {}], ['c', {}], ['d', {rack: 'r-2', labels: ['data']}]];
const blocking = 1;
const waiting = 2;
const small = 3;

type Case = Readonly<{
	name: string;
	/** Work that occupies a worker, or one accelerator of it. */
	blocking: Partial<JobStep>;
	/** Work that arrives next. */
	waiting: Partial<JobStep>;
	/** Priority of both; the waiting work preempts nothing of its own rank. */
	priority: number;
	/** Whether the next work starts although the blocking work goes on. */
	isWaitingStarted: boolean;
	/** Whether a small job that arrives 2 s later, on a queue of priority 2, starts at once. */
	isSmallStarted: boolean;
}>;

const wideGang: Partial<JobStep> = {
	count: 4, accelerators: 8, isGang: true, estimatedMilliseconds: 60_000,
};
const hourMilliseconds = 3_600_000;

const cases: readonly Case[] = [
	{
		name: 'a gang that does not fit beside lasting work reserves no workers (idle pool kept from all other jobs)',
		blocking: {isLongRunning: true}, waiting: wideGang, priority: 1, isWaitingStarted: false, isSmallStarted: true,
	},
	{
		name: 'a gang that waits for work of an hour reserves no workers (idle pool kept from all other jobs)',
		blocking: {estimatedMilliseconds: hourMilliseconds}, waiting: wideGang, priority: 1, isWaitingStarted: false, isSmallStarted: true,
	},
	{
		name: 'a gang that waits for an hour\'s work in its rack reserves no other workers (idle pool kept from all other jobs)',
		blocking: {estimatedMilliseconds: hourMilliseconds, accelerators: 8},
		waiting: {
			...wideGang, count: 3, prefersOneRack: true, estimatedMilliseconds: hourMilliseconds,
		},
		priority: 1,
		isWaitingStarted: false,
		isSmallStarted: true,
	},
	{
		name: 'a gang does not wait for a rack that lasting work occupies (gang waits as long as it runs, on an idle pool)',
		blocking: {isLongRunning: true}, waiting: {...wideGang, count: 3, prefersOneRack: true}, priority: 1, isWaitingStarted: true, isSmallStarted: true,
	},
	{
		name: 'work does not wait for the rack of its data while lasting work occupies that (job waits beside an idle pool)',
		blocking: {isLongRunning: true, accelerators: 8, requiredLabel: 'data'},
		waiting: {accelerators: 8, dataRack: 'r-2', estimatedMilliseconds: 60_000},
		priority: 2,
		isWaitingStarted: true,
		isSmallStarted: true,
	},
	{
		name: 'a gang that can soon start reserves the workers that it needs (wide gang never starts beside a stream of small jobs)',
		blocking: {estimatedMilliseconds: 8000}, waiting: wideGang, priority: 1, isWaitingStarted: false, isSmallStarted: false,
	},
];

function submit(driver: Driver, number: number, step: Partial<JobStep>, priority = 2): ReturnType<typeof startsOf> {
	const starts = startsOf(driver.send({kind: 'submitted', submission: submissionOf(number, [step], {priority, submittedAt: driver.time()})}));
	for (const {agent, task, run} of starts) {
		driver.send({kind: 'start-answered', agent, answers: [{task, run, result: 'started'}]});
	}

	return starts;
}

describe('work that keeps room from other work', () => {
	for (const {name, isWaitingStarted, isSmallStarted, priority, ...steps} of cases) {
		it(name, () => {
			const driver = createReadyDriver(workers);
			const [occupied] = submit(driver, blocking, steps.blocking, priority);
			expect(occupied).not.to.equal(undefined);
			let started = submit(driver, waiting, steps.waiting, priority).length;
			for (let elapsed = 0; elapsed < 2000; elapsed += 250) {
				started += startsOf(driver.elapse(250)).length;
				for (const [worker, options] of workers) {
					const percent = Math.floor(100 * elapsed / (steps.blocking.estimatedMilliseconds ?? Infinity));
					const running = occupied?.agent === worker ? [reportedRunOf(taskOf(blocking), 1, percent)] : [];
					started += startsOf(driver.send({kind: 'renewed', agent: worker, snapshot: snapshotOf(worker, {...options, running})})).length;
				}
			}

			expect(started > 0, 'waiting work started').to.equal(isWaitingStarted);
			expect(submit(driver, small, {}).length === 1, 'small job started').to.equal(isSmallStarted);
		});
	}

	it('a gang starts on its reserved workers once the work that it waits for has ended (reservation without use)', () => {
		const driver = createReadyDriver(workers);
		const [occupied] = submit(driver, blocking, {estimatedMilliseconds: 8000}, 1);
		submit(driver, waiting, wideGang, 1);
		driver.elapse(2000);
		submit(driver, small, {});
		const agent = occupied?.agent ?? '';
		const starts = startsOf(driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent, {ended: [endedRunOf(1, taskOf(blocking), 1, 'done')]})}));
		expect(starts.map(({task}) => task)).to.deep.equal([0, 1, 2, 3].map(index => taskOf(waiting, index)));
	});
});
