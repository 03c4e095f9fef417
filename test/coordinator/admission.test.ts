/** Jobs are accepted as far as the scheduler can hold them, at whichever entry they arrive. */
import {expect} from 'chai';
import {
	admissionService, coordinatorPlugins, schedulerService, storeMonitorService, storePort, submitWithinBudget, type Admission, type CoordinatorContext, type Scheduler,
} from '#coordinator';
import {
	countOverlappingOccurrences, decideAdmission, estimateRecordBytes, estimateTaskBytes, memoryBudgetBytes, type JobAdmission, type JobRecord, type JobSubmission, type MemoryUse, type TenantName,
} from '#jobs';
import {
	createCounters, createServices, createVirtualClock, silentLog, type VirtualClock,
} from '#kernel';
import {countOpenTasks, maximumOpenTasks} from '#scheduling';
import {
	createReadyDriver, keyOf, oneStep, submissionOf, type Driver,
} from '#test/support/scheduling';
import {createUnreliableStore} from '#test/support/unreliable-store';
import {elapse} from '#test/support/virtual-time';
import '../../packages/coordinator/plugins/index.js';

type DecisionCase = Readonly<{name: string; bytes: number; use: MemoryUse; decision: JobAdmission}>;

const mega = 1_000_000;
const decisionCases: readonly DecisionCase[] = [
	{
		name: 'the widest job is accepted while nothing else is there (job refused without need)', bytes: 17.1 * mega, use: {total: 0, tenant: 0, freedPerSecond: 0}, decision: {kind: 'admitted'},
	},
	{
		name: 'a job that fits beside no other is refused for good (caller that returns in vain)', bytes: 21 * mega, use: {total: 0, tenant: 0, freedPerSecond: 0}, decision: {kind: 'too-large', maximumTasks: 23_529},
	},
	{
		name: 'a tenant gets no more than half of what the others leave (team locked out by another one)',
		bytes: 5 * mega, use: {total: 20 * mega, tenant: 16 * mega, freedPerSecond: mega}, decision: {kind: 'refused', retryAfterMilliseconds: 3000},
	},
	{
		name: 'another tenant has room then (team locked out by another one)', bytes: 5 * mega, use: {total: 20 * mega, tenant: 0, freedPerSecond: 0}, decision: {kind: 'admitted'},
	},
	{
		name: 'while nothing ends, the caller returns after a minute (caller that returns in vain)',
		bytes: 5 * mega, use: {total: 36 * mega, tenant: 0, freedPerSecond: 0}, decision: {kind: 'refused', retryAfterMilliseconds: 60_000},
	},
];

type Entry = Readonly<{admission: Admission; context: CoordinatorContext}>;

function startEntry(clock: VirtualClock, driver?: Driver): Entry {
	const services = createServices();
	const context = {
		services, clock, counters: createCounters(), log: silentLog, settings: {'refuse-by-forecast': 'on'},
	} as unknown as CoordinatorContext;
	services.provide(schedulerService, {
		send(message) {
			driver?.send(message);
		}, read: () => driver?.state(),
	} as Scheduler);
	for (const task of coordinatorPlugins.tasks().filter(({name}) => name === 'forecast' || name === 'admission')) {
		task.start(context);
	}

	return {admission: services.use(admissionService), context};
}

const ofTenant = (submission: JobSubmission, name: string): JobSubmission => ({...submission, tenant: name as TenantName});

describe('admission of jobs', () => {
	for (const {
		name, bytes, use, decision,
	} of decisionCases) {
		it(name, () => {
			expect(decideAdmission(bytes, use)).to.deep.equal(decision);
		});
	}

	it('occurrences that overlap count together (memory exhausted by short intervals)', () => {
		const count = (intervalMilliseconds: number) => countOverlappingOccurrences({steps: [oneStep], schedule: {firstRunAt: 0, intervalMilliseconds, occurrences: 100}});
		expect([60_000, 5000, 1000, 1].map(interval => count(interval))).to.deep.equal([2, 2, 6, 100]);
	});

	for (const {name, count} of [{name: 'a few wide jobs', count: 20_000}, {name: 'some dozens of jobs', count: 3000}, {name: 'many small jobs', count: 300}]) {
		it(`a flood of ${name} at three entries stays within what the scheduler holds (memory exhausted by accepted jobs)`, () => {
			const clock = createVirtualClock();
			const driver = createReadyDriver([]);
			const [scheduling, ...others] = [startEntry(clock, driver), startEntry(clock), startEntry(clock)];
			let number = 0;
			let accepted = 0;
			for (let round = 0; round < 400; round++) {
				for (const {admission} of [scheduling, ...others]) {
					const submission = ofTenant(submissionOf(++number, [{count: Math.min(count, 10_000)}, ...(count > 10_000 ? [{count: count - 10_000}] : [])]), `tenant-${number % 3}`);
					if (admission.request(submission).kind === 'admitted') {
						driver.send({kind: 'submitted', submission});
						accepted++;
					}
				}

				clock.advance(100);
				for (const {admission} of round % 7 === 0 ? others : []) {
					admission.observe(scheduling.admission.describe()!);
				}
			}

			const needed = [...driver.state().jobs.values()].reduce((total, {memory}) => total + memory.recordBytes + memory.taskBytes, 0);
			expect(accepted).to.be.above(1);
			expect(countOpenTasks(driver.state())).to.be.at.most(maximumOpenTasks);
			// Jobs that entries accept before they have heard of each other's may exceed the budget once; they wait unopened.
			expect(needed).to.be.at.most(2 * memoryBudgetBytes);
			expect(scheduling.admission.request(ofTenant(submissionOf(9_999_999, [{count: 10_000}]), 'tenant-1')).kind).to.equal('refused');
		});
	}

	it('jobs that ended free their tasks at once and their records later (entry that refuses for good)', () => {
		const clock = createVirtualClock();
		const driver = createReadyDriver([]);
		const {admission} = startEntry(clock, driver);
		const submission = submissionOf(1, [{count: 10_000}, {count: 10_000}]);
		driver.send({kind: 'submitted', submission});
		expect(admission.request(submissionOf(2, [{count: 10_000}])).kind).to.equal('refused');
		driver.send({kind: 'cancelled', job: keyOf(1)});
		clock.advance(300);
		expect(admission.request(submissionOf(2, [{count: 10_000}])).kind).to.equal('admitted');
		expect(admission.describe()?.total).to.equal(estimateRecordBytes(submission.request));
		driver.elapse(160_000);
		clock.advance(300);
		expect(admission.describe()?.total).to.equal(0);
		expect(estimateTaskBytes(submission.request)).to.be.above(estimateRecordBytes(submission.request));
	});

	it('submissions that are under way count (memory exhausted by submissions of one moment)', async () => {
		const clock = createVirtualClock();
		const driver = createReadyDriver([]);
		const {context} = startEntry(clock, driver);
		context.services.provide(storePort, createUnreliableStore(clock, () => ({kind: 'answered', appliedAfter: 400, answeredAfter: 400})).store);
		context.services.provide(storeMonitorService, {isFailing: () => false, measureOutage: () => 0});
		const submitting = Promise.all(Array.from({length: 40}, async (_, index) => submitWithinBudget(submissionOf(index + 1, [{count: 3000}]), clock.monotonic() + 2000, context)));
		await elapse(clock, 3000, 100);
		const answers = await submitting;
		expect(answers.filter(({kind}) => kind === 'accepted').length).to.equal(7);
		expect(driver.state().jobs.size).to.equal(7);
	});

	it('a job that other entries need not have heard of is refused for a short time (caller that returns late)', () => {
		const clock = createVirtualClock();
		const {admission} = startEntry(clock);
		admission.observe({total: 0, freedPerSecond: 0, tenants: []});
		expect(admission.request(submissionOf(1, [{count: 10_000}, {count: 9000}])).kind).to.equal('admitted');
		expect(admission.request(submissionOf(2, [{count: 10_000}]))).to.deep.equal({kind: 'refused', retryAfterMilliseconds: 2000});
		clock.advance(2000);
		admission.observe({total: 0, freedPerSecond: 0, tenants: []});
		expect(admission.request(submissionOf(2, [{count: 10_000}])).kind).to.equal('admitted');
	});

	const storedCases: ReadonlyArray<Readonly<{name: string; stored: JobRecord | undefined; answer: string}>> = [
		{name: 'a new job beyond the budget is refused at once', stored: undefined, answer: 'refused'},
		{name: 'a retry of an accepted job is not refused', stored: {kind: 'accepted', submission: submissionOf(2, [{count: 10_000}])}, answer: 'accepted'},
		{name: 'a copy of a cancelled submission is not invited to return', stored: {kind: 'withdrawn', withdrawnAt: 0}, answer: 'withdrawn'},
		{name: 'a retry of a refused job is refused', stored: {kind: 'refused', refusedAt: 0}, answer: 'refused'},
	];
	for (const {name, stored, answer} of storedCases) {
		it(`${name} (refused job that runs, or accepted job beyond the budget)`, async () => {
			const clock = createVirtualClock();
			const driver = createReadyDriver([]);
			const {context} = startEntry(clock, driver);
			const unreliable = createUnreliableStore(clock, () => ({kind: 'answered', appliedAfter: 1, answeredAfter: 1}));
			context.services.provide(storePort, unreliable.store);
			context.services.provide(storeMonitorService, {isFailing: () => false, measureOutage: () => 0});
			const submission = submissionOf(2, [{count: 10_000}]);
			if (stored !== undefined) {
				unreliable.put(`jobs/${submission.job}`, stored);
			}

			driver.send({kind: 'submitted', submission: submissionOf(1, [{count: 10_000}, {count: 10_000}])});
			const answering = submitWithinBudget(submission, clock.monotonic() + 2000, context);
			await elapse(clock, 100, 5);
			const answered = await answering;
			expect(answered.kind).to.equal(answer);
			expect(unreliable.countWrites()).to.equal(0);
		});
	}
});
