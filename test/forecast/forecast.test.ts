/** Jobs are refused only while they would certainly end too late, and only those of teams that crowd out others. */
import {expect} from 'chai';
import {checkInput} from '#core';
import {
	addAdmittedJobs, createForecast, decideByForecast, estimateJob, receiveForecast, shareForecast, sharedForecastSchema, trackEstimates, workOf, type Forecast, type ForecastDecision, type ForecastJob, type LoadSnapshot,
	type ObservedJob, type RunningWork, type WaitingWork, type WorkerRoom,
} from '#forecast';
import type {JobStep, Resources, TenantName} from '#jobs';
import {
	configuration, keyOf, oneStep, service, submissionOf, tenant,
} from '#test/support/scheduling';

const capacity: Resources = {processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators: 8};
const nothing: Resources = {processorMillicores: 0, memoryMegabytes: 0, accelerators: 0};
const worker: WorkerRoom = {
	service, capacity, free: nothing, isUsable: true, isStaying: true,
};
const wholeWorker: JobStep = {...oneStep, accelerators: 8};
const runsForLong: RunningWork = {
	service, rank: 3, room: capacity, remaining: 60_000,
};

/** Waiting work of one team that takes two workers the given time. */
function backlogOf(team: string, milliseconds: number, overrides: Partial<WaitingWork> = {}): WaitingWork {
	const task = {processorMillicores: 1000, memoryMegabytes: 100, accelerators: 8};
	return {
		service, rank: 3, team, urgency: 'on-time', work: workOf(wholeWorker, 2, milliseconds), task, unit: task, isBlocked: true, ...overrides,
	};
}

/** Two full workers, two teams, and work of one of them for ten minutes. */
const overload: LoadSnapshot = {
	waiting: [backlogOf(tenant, 600_000)],
	running: [runsForLong, runsForLong],
	workers: [worker, worker],
	teams: [{team: tenant, accelerators: 8, used: 8}, {team: 'other', accelerators: 0, used: 0}],
};

/** A job with the objective of 2 x 5 s + 1 s. */
const job = submissionOf(1, [wholeWorker]);
const gangOf = (count: number) => submissionOf(1, [{...wholeWorker, count, isGang: true}]);

type Case = Readonly<{
	name: string;
	load?: Partial<LoadSnapshot>;
	job?: ForecastJob;
	/** Age of the forecast; absent if there is none. */
	age?: number | 'no-forecast';
	decision: Partial<ForecastDecision>;
}>;

const cases: readonly Case[] = [
	{name: 'a job that would certainly be worthless is refused at once (caller told when it is too late)', decision: {kind: 'refuse', reason: 'no-capacity-in-time'}},
	{name: 'without a forecast memory alone decides (callers refused by an entry that knows nothing)', age: 'no-forecast', decision: {kind: 'accept', reason: 'no-forecast'}},
	{name: 'a forecast holds for 3 s (refusals that end with each lost exchange)', age: 3000, decision: {kind: 'refuse'}},
	{name: 'an older one counts as none (callers refused after the load is over)', age: 3001, decision: {kind: 'accept', reason: 'no-forecast'}},
	{
		name: 'a job within its guarantee is not refused (guarantee that is worth nothing)',
		load: {teams: [{team: tenant, accelerators: 16, used: 8}], waiting: [backlogOf(tenant, 600_000, {rank: 0})]}, job: submissionOf(1, [wholeWorker], {priority: 0}), decision: {kind: 'wait', reason: 'within-guarantee'},
	},
	{
		name: 'a job beyond it is (guarantee that admits a surge)', load: {waiting: [backlogOf(tenant, 600_000, {rank: 0})]}, job: submissionOf(1, [wholeWorker], {priority: 0}), decision: {kind: 'refuse'},
	},
	{name: 'a team without much of the backlog is not refused (team locked out by another one)', job: {...job, tenant: 'other' as TenantName}, decision: {kind: 'wait', reason: 'within-equal-share'}},
	{
		name: 'nor is a team that the report leaves out (team locked out by the bound on reports)', job: {...job, tenant: 'unlisted' as TenantName}, decision: {kind: 'wait', reason: 'within-equal-share'},
	},
	{
		name: 'estimates that are twice as long as the work do not refuse (job refused that would have been paid)', load: {waiting: [backlogOf(tenant, 70_000)]}, decision: {kind: 'wait', reason: 'late'},
	},
	{name: 'nor do runs without progress (refusals by a guess)', load: {waiting: [], running: [{...runsForLong, remaining: 1e9}, {...runsForLong, remaining: 1e9}]}, decision: {kind: 'wait', reason: 'late'}},
	{name: 'lower ranks do not delay a job (urgent job refused behind layouts)', load: {waiting: [backlogOf(tenant, 600_000, {rank: 4})]}, decision: {kind: 'wait', reason: 'late'}},
	{name: 'nor does long work, which goes last (job refused behind one that gives way)', load: {waiting: [backlogOf(tenant, 600_000, {urgency: 'long'})]}, decision: {kind: 'wait', reason: 'late'}},
	{name: 'nor late work while the job itself is not (job refused behind one that gives way)', load: {running: [{...runsForLong, remaining: 9000}, runsForLong], waiting: [backlogOf(tenant, 600_000, {urgency: 'late'})]}, decision: {kind: 'wait', reason: 'late'}},
	{
		name: 'late work goes before a job that is bound to be late too (surge that is accepted without end)',
		load: {waiting: [backlogOf(tenant, 30_000), backlogOf(tenant, 600_000, {urgency: 'late'})]}, decision: {kind: 'refuse'},
	},
	{
		name: 'nor do wide gangs, which narrow work passes (narrow jobs refused that would have been paid)',
		load: {waiting: [backlogOf(tenant, 600_000, {unit: {...nothing, accelerators: 16}})]}, decision: {kind: 'wait', reason: 'late'},
	},
	{
		name: 'work that could never run delays nothing (callers refused because of one mistake)',
		load: {waiting: [backlogOf(tenant, 600_000, {task: {...nothing, accelerators: 9}, unit: {...nothing, accelerators: 9}})]}, decision: {kind: 'wait', reason: 'late'},
	},
	{name: 'free room starts a job (callers refused beside idle workers)', load: {workers: [worker, {...worker, free: capacity}], waiting: [backlogOf(tenant, 600_000, {isBlocked: false})]}, decision: {kind: 'wait'}},
	{name: 'free room in pieces that blocked work cannot use does not (surge accepted into fragments)', load: {workers: [worker, {...worker, free: capacity}]}, decision: {kind: 'refuse'}},
	{name: 'nothing is refused before a worker has reported (callers refused after a start of the system)', load: {workers: []}, decision: {kind: 'wait', reason: 'no-workers'}},
	{name: 'nor for a service whose workers are of another one', job: {...job, queue: {...job.queue, service: 'empty' as typeof service}}, decision: {kind: 'wait', reason: 'no-workers'}},
	{name: 'nor while all workers leave (callers refused during an upgrade)', load: {workers: [{...worker, isStaying: false}]}, decision: {kind: 'wait', reason: 'no-workers'}},
	{name: 'a task larger than every worker waits for one (retry time that is not true)', job: submissionOf(1, [{...oneStep, accelerators: 9}]), decision: {kind: 'wait', reason: 'larger-than-pool'}},
	{name: 'and a gang wider than the pool (retry time that is not true)', job: gangOf(3), decision: {kind: 'wait', reason: 'larger-than-pool'}},
	{name: 'a gang as wide as the pool is refused like others (wide gangs exempt from the rule)', job: gangOf(2), decision: {kind: 'refuse'}},
	{
		name: 'work without an end refuses nothing (callers refused for ever)', load: {running: [{...runsForLong, remaining: Infinity}, runsForLong]}, job: gangOf(2), decision: {kind: 'wait', reason: 'beside-lasting-work'},
	},
	{name: 'work without an end is not refused (service that waits for its turn)', job: submissionOf(1, [{...wholeWorker, isLongRunning: true}]), decision: {kind: 'accept', reason: 'long-running'}},
	{
		name: 'a scheduled job is not refused (occurrences due long after the load)',
		job: {...job, request: {...job.request, schedule: {firstRunAt: 0, intervalMilliseconds: 60_000, occurrences: 3}}}, decision: {kind: 'accept', reason: 'scheduled'},
	},
];

const forecastOf = (load: Partial<LoadSnapshot> = {}): Forecast => createForecast({...overload, ...load}, 1000);

describe('admission by the forecast', () => {
	for (const {
		name, load, job: decided = job, age = 0, decision,
	} of cases) {
		it(name, () => {
			const forecast = age === 'no-forecast' ? undefined : forecastOf(load);
			expect(decideByForecast(forecast, decided, 1000 + (age === 'no-forecast' ? 0 : age))).to.include(decision);
		});
	}

	it('the job is accepted after the time of the refusal, and not much earlier (caller that returns in vain, or too late)', () => {
		const refused = decideByForecast(forecastOf(), job, 1000);
		const wait = refused.kind === 'refuse' ? refused.retryAfterMilliseconds : 0;
		const decideAfter = (elapsed: number) => decideByForecast(forecastOf({waiting: [backlogOf(tenant, 600_000 - elapsed)]}), job, 1000).kind;
		expect([decideAfter(wait * 0.95), decideAfter(wait + 1)]).to.deep.equal(['refuse', 'wait']);
	});

	it('jobs admitted since the last report count (surge of one moment accepted as a whole)', () => {
		const forecast = forecastOf({waiting: [], workers: [worker, {...worker, free: capacity}]});
		const surge = Array.from({length: 300}, (_, index) => ({...job, job: keyOf(index + 2)}));
		expect(decideByForecast(forecast, job, 1000).kind).to.equal('accept');
		expect(decideByForecast(addAdmittedJobs(forecast, surge), job, 1000).kind).to.equal('refuse');
	});

	it('a report decides as the forecast itself, and is bounded (entries that contradict each other, links filled by reports)', () => {
		const teams = Array.from({length: 590}, (_, index) => `team-${index}`);
		const waiting = [...overload.waiting, ...teams.flatMap((team, index) => [3, 4, 5, 6, 7, 8, 9, 10, 11, 12].map(rank => backlogOf(team, index, {rank})))];
		const forecast = forecastOf({waiting});
		const shared = shareForecast(forecast, 1500);
		const text = JSON.stringify(shared);
		const checked = checkInput(sharedForecastSchema, JSON.parse(text), 'forecast');
		const received = receiveForecast(checked.kind === 'valid' ? checked.value : {ageMilliseconds: 0, pools: []}, 7000);
		expect(decideByForecast(received, job, 7000).kind).to.equal(decideByForecast(forecast, job, 1000).kind);
		expect(received.at).to.equal(6500);
		expect(text.length).to.be.below(5000);
	});

	it('a report of an endless estimate is valid (entries that reject each other\'s exchanges because of one job)', () => {
		const endless = backlogOf(tenant, 0, {work: workOf({...oneStep, accelerators: 0}, 3, Infinity)});
		const text = JSON.stringify(shareForecast(forecastOf({waiting: [endless]}), 1000));
		expect(checkInput(sharedForecastSchema, JSON.parse(text), 'forecast').kind).to.equal('valid');
	});

	it('estimates are compared with first starts, forgotten with their jobs, and bounded (memory exhausted by waiting jobs)', () => {
		const observe = (count: number, overrides: Partial<ObservedJob> = {}): readonly ObservedJob[] => Array.from({length: count}, (_, index) => ({
			job: {...job, job: keyOf(index + 1)}, isNew: true, arrivedAt: 1000, startedAt: undefined, ...overrides,
		}));
		const estimate = estimateJob(forecastOf(), job);
		const estimated = estimate.kind === 'estimated' ? estimate.usual.start : Number.NaN;
		const {tracked} = trackEstimates(new Map(), observe(2000), forecastOf());
		expect(tracked.size).to.equal(500);
		const started = trackEstimates(tracked, observe(1, {isNew: false, startedAt: 4000}), undefined);
		expect(started).to.deep.equal({tracked: new Map(), errors: [{job: job.job, estimated, actual: 3000}]});
	});

	it('the configuration of these cases has the team of the jobs (cases that decide about nobody)', () => {
		expect(configuration.tenants.map(({name}) => name)).to.include(job.tenant);
	});
});
