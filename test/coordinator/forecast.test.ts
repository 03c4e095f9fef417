/** Entries refuse jobs by the forecast that the scheduler's entry reports. */
import {expect} from 'chai';
import {
	admissionService, coordinatorPlugins, forecastService, schedulerService, storeMonitorService, storePort, submitWithinBudget, type CoordinatorContext, type Scheduler,
} from '#coordinator';
import type {SchedulerEffect} from '#scheduling';
import type {JobRecord, JobSubmission} from '#jobs';
import {
	createCounters, createServices, createVirtualClock, silentLog, type VirtualClock,
} from '#kernel';
import {
	createReadyDriver, oneStep, submissionOf, type Driver,
} from '#test/support/scheduling';
import {createUnreliableStore} from '#test/support/unreliable-store';
import {elapse} from '#test/support/virtual-time';
import '../../packages/coordinator/plugins/index.js';

const wholeWorker = {...oneStep, accelerators: 8};
const surgeOf = (number: number): JobSubmission => submissionOf(number, [{...wholeWorker, count: 40}]);
const ofOtherTeam = (submission: JobSubmission): JobSubmission => {
	const {tenant, ...other} = submission;
	return other;
};

function startEntry(clock: VirtualClock, options: Readonly<{driver?: Driver; setting?: 'on' | 'off'}> = {}): CoordinatorContext {
	const services = createServices();
	const context = {
		services, clock, counters: createCounters(), log: silentLog, settings: {'refuse-by-forecast': options.setting ?? 'on'},
	} as unknown as CoordinatorContext;
	services.provide(schedulerService, {
		send(message) {
			options.driver?.send(message);
		}, read: () => options.driver?.state(),
	} as Scheduler);
	for (const task of coordinatorPlugins.tasks().filter(({name}) => name === 'forecast' || name === 'admission')) {
		task.start(context);
	}

	return context;
}

/** A scheduler whose only worker is busy, and which one team sent work for 20 minutes. */
function createOverloadedDriver(): Driver {
	const driver = createReadyDriver([['a']]);
	for (let number = 1; number <= 6; number++) {
		driver.send({kind: 'submitted', submission: surgeOf(number)});
	}

	driver.send({kind: 'submitted', submission: ofOtherTeam(submissionOf(7, [wholeWorker]))});
	driver.elapse(2000);
	return driver;
}

const request = ({services}: CoordinatorContext, submission: JobSubmission) => services.use(admissionService).request(submission).kind;

/** Lets one entry report to another. */
function report(from: CoordinatorContext, to: CoordinatorContext): void {
	const shared = from.services.use(forecastService).describe();
	if (shared !== undefined) {
		to.services.use(forecastService).observe(shared);
	}
}

type Case = Readonly<{name: string; answers: readonly string[]; play(clock: VirtualClock, scheduling: CoordinatorContext, driver: Driver): readonly string[]}>;

const cases: readonly Case[] = [
	{
		name: 'the scheduler refuses the team with the backlog and no other one (team locked out by another one)',
		play: (_clock, scheduling) => [request(scheduling, surgeOf(9)), request(scheduling, ofOtherTeam(surgeOf(9)))],
		answers: ['too-late', 'admitted'],
	},
	{
		name: 'another entry refuses as well, until the report is too old (entries that accept what others refuse, or refuse for good)',
		play(clock, scheduling) {
			const other = startEntry(clock);
			const answers = [request(other, surgeOf(9))];
			report(scheduling, other);
			answers.push(request(other, surgeOf(9)));
			clock.advance(3500);
			return [...answers, request(other, surgeOf(9))];
		},
		answers: ['admitted', 'too-late', 'admitted'],
	},
	{
		name: 'a scheduler without its lease reports nothing (forecast that outlives an outage)',
		play(clock, scheduling, driver) {
			driver.send({kind: 'lease-confirmed', until: driver.time()});
			clock.advance(300);
			const whileValid = request(scheduling, surgeOf(9));
			clock.advance(3500);
			return [scheduling.services.use(forecastService).describe() === undefined ? 'no report' : 'report', whileValid, request(scheduling, surgeOf(9))];
		},
		answers: ['no report', 'too-late', 'admitted'],
	},
	{
		name: 'the operators can switch refusals off (refusals that cannot be stopped)',
		play(clock, _scheduling, driver) {
			const entry = startEntry(clock, {driver, setting: 'off'});
			return [request(entry, surgeOf(9))];
		},
		answers: ['admitted'],
	},
];

describe('forecast at the entries', () => {
	for (const {name, play, answers} of cases) {
		it(name, () => {
			const driver = createOverloadedDriver();
			const clock = createVirtualClock();
			clock.advance(driver.time());
			expect(play(clock, startEntry(clock, {driver}), driver)).to.deep.equal(answers);
		});
	}

	const storedCases: ReadonlyArray<Readonly<{name: string; stored: JobRecord | undefined; answer: string}>> = [
		{name: 'a new job is refused without a write', stored: undefined, answer: 'refused no-capacity-in-time'},
		{name: 'a retry of a stored job is not', stored: {kind: 'accepted', submission: surgeOf(9)}, answer: 'accepted '},
	];
	for (const {name, stored, answer} of storedCases) {
		it(`${name} (caller told that an accepted job does not run)`, async () => {
			const driver = createOverloadedDriver();
			const clock = createVirtualClock();
			clock.advance(driver.time());
			const context = startEntry(clock, {driver});
			const unreliable = createUnreliableStore(clock, () => ({kind: 'answered', appliedAfter: 1, answeredAfter: 1}));
			context.services.provide(storePort, unreliable.store);
			context.services.provide(storeMonitorService, {isFailing: () => false, measureOutage: () => 0});
			if (stored !== undefined) {
				unreliable.put(`jobs/${surgeOf(9).job}`, stored);
			}

			const answering = submitWithinBudget(surgeOf(9), clock.monotonic() + 2000, context);
			await elapse(clock, 100, 5);
			const answered = await answering;
			expect(`${answered.kind} ${answered.kind === 'refused' ? answered.reason : ''}`).to.equal(answer);
			expect(unreliable.countWrites()).to.equal(0);
		});
	}

	it('the first starts of jobs are compared with their estimates (estimates whose error nobody sees)', async () => {
		const driver = createReadyDriver([['a']]);
		const clock = createVirtualClock();
		const context = startEntry(clock, {driver});
		driver.elapse(250);
		clock.advance(250);
		const start = driver.send({kind: 'submitted', submission: submissionOf(1, [wholeWorker])}).find(({kind}) => kind === 'start') as Extract<SchedulerEffect, {kind: 'start'}>;
		driver.send({kind: 'start-answered', agent: start.agent, answers: start.orders.map(({task, run}) => ({task, run, result: 'started'}))});
		clock.advance(250);
		expect(await context.counters.exposition()).to.match(/operation="start-overestimated"/);
	});
});
