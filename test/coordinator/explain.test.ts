/** Entries explain jobs as a submission would be decided, and change nothing by it. */
import {expect} from 'chai';
import {
	admissionService, coordinatorPlugins, forecastService, schedulerService, type CoordinatorContext, type Scheduler,
} from '#coordinator';
import type {JobStep, TenantName} from '#jobs';
import {
	createCounters, createServices, createVirtualClock, silentLog, type HttpReply,
} from '#kernel';
import type {ExplainParameters} from '#protocol';
import {
	configuration, createReadyDriver, oneStep, submissionOf, tenant, type Driver,
} from '#test/support/scheduling';
import {directoryService} from '../../packages/coordinator/plugins/directory.js';

type Entry = Readonly<{context: CoordinatorContext; explain(change?: Partial<ExplainParameters>): Promise<HttpReply>}>;
type Case = Readonly<{name: string; run(entry: Entry, driver: Driver): Promise<void>}>;

const wholeWorker = {...oneStep, accelerators: 8};
const surge = (steps: readonly JobStep[] = [{...wholeWorker, count: 40}]) => ({specification: 'text', steps});

/** A scheduler whose only worker is busy, and which one team sent work for 20 minutes. */
function createOverloadedDriver(): Driver {
	const driver = createReadyDriver([['a']]);
	for (let number = 1; number <= 6; number++) {
		driver.send({kind: 'submitted', submission: submissionOf(number, surge().steps)});
	}

	const {tenant: _tenant, ...ofNobody} = submissionOf(7, [wholeWorker]);
	driver.send({kind: 'submitted', submission: ofNobody});
	driver.elapse(2000);
	return driver;
}

/** Starts an entry that schedules if a driver is given. */
function startEntry(driver: Driver | undefined, start: number): Entry {
	const services = createServices();
	const clock = createVirtualClock();
	clock.advance(start);
	const context = {
		services, clock, counters: createCounters(), log: silentLog, settings: {'refuse-by-forecast': 'on', entry: 'entry-a'},
	} as unknown as CoordinatorContext;
	services.provide(schedulerService, {send: () => undefined, read: () => driver?.state()} as unknown as Scheduler);
	services.provide(directoryService, {read: () => ({values: new Map()})} as never);
	for (const task of coordinatorPlugins.tasks().filter(({name}) => ['forecast', 'admission', 'explanation-permits'].includes(name))) {
		task.start(context);
	}

	const route = coordinatorPlugins.httpRoutes().find(({name}) => name === 'explain')!;
	return {
		context,
		async explain(change = {}) {
			clock.advance(1000);
			const body = {
				queue: configuration.queues[2]!.name, tenant, job: surge(), ...change,
			};
			return route.handle({
				parameters: {}, query: {}, body, signal: new AbortController().signal,
			} as never, context);
		},
	};
}

const admissionOf = (reply: HttpReply) => reply.kind === 'json' ? (reply.body as Readonly<{admission: Readonly<Record<string, unknown>>}>).admission : undefined;
const problemOf = (reply: HttpReply) => reply.kind === 'problem' ? [reply.problem.status, reply.problem.reason, reply.problem.findings?.[0]?.place] : undefined;

const cases: readonly Case[] = [
	{
		name: 'a refusal by the forecast has the reason and the retry time of a submission (explanation that admits what is refused)',
		async run({explain, context: {services}}) {
			const admission = admissionOf(await explain());
			const submitted = services.use(admissionService).request(submissionOf(9, surge().steps));
			expect(admission).to.deep.include({kind: 'refused', reason: 'no-capacity-in-time'});
			expect(submitted).to.deep.equal({kind: 'too-late', retryAfterMilliseconds: admission?.['retryAfterMilliseconds']});
		},
	},
	{
		name: 'an explained job counts in neither the memory nor the forecast, and the state stays (explanation that takes room)',
		async run({explain, context: {services}}, driver) {
			const state = driver.state();
			const preview = () => services.use(forecastService).preview(submissionOf(9, surge().steps));
			const before = preview();
			await explain({job: surge([oneStep])});
			expect(preview().estimate).to.deep.equal(before.estimate);
			expect(driver.state()).to.equal(state);
		},
	},
	{
		name: 'a refusal for want of memory has the reason and the retry time of a submission (explanation that admits what is refused)',
		async run({explain, context: {services}}, driver) {
			const {steps} = surge([{...oneStep, count: 10_000}, {...oneStep, count: 10_000}]);
			driver.send({kind: 'submitted', submission: submissionOf(8, steps)});
			const admission = admissionOf(await explain({job: surge(steps)}));
			expect(admission).to.deep.include({kind: 'refused', reason: 'too-many-tasks'});
			expect(services.use(admissionService).request(submissionOf(9, steps))).to.deep.equal({kind: 'refused', retryAfterMilliseconds: admission?.['retryAfterMilliseconds']});
		},
	},
	{
		name: 'an unknown queue or team is named with its place (explanation for another queue)',
		async run({explain}) {
			expect(problemOf(await explain({queue: 'none' as never}))).to.deep.equal([400, 'invalid-request', 'queue']);
			expect(problemOf(await explain({tenant: 'none' as TenantName}))).to.deep.equal([400, 'invalid-request', 'tenant']);
		},
	},
	{
		name: 'the second call within a second is refused (command that slows the scheduler)',
		async run({explain, context}) {
			await explain();
			const method = coordinatorPlugins.rpcMethods().find(({name}) => name === 'entry.explain')!;
			expect(await method.handle({queue: 'queue-2', job: surge()}, context, {} as never)).to.deep.equal({kind: 'limited', retryAfterMilliseconds: 1000});
		},
	},
	{
		name: 'without a scheduler there is no answer (explanation from nothing)',
		async run() {
			expect(problemOf(await startEntry(undefined, 0).explain())).to.deep.equal([503, 'no-scheduler', undefined]);
		},
	},
];

describe('explanations of an entry', () => {
	for (const {name, run} of cases) {
		it(name, async () => {
			const driver = createOverloadedDriver();
			await run(startEntry(driver, driver.time()), driver);
		});
	}
});
