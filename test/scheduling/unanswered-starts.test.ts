/** A task whose start was not answered starts again only when that start can no longer be carried out. */
import {expect} from 'chai';
import {chooseTickDelay} from '#coordinator';
import type {WorkerId} from '#core';
import {lateCallMilliseconds, type JobStep, type UnansweredStarts} from '#jobs';
import {
	maximumLeaseMilliseconds, orderDeliveryMilliseconds, stopRetryMilliseconds, type SchedulerEffect, type SchedulerMessage,
} from '#scheduling';
import {
	configuration, createDriver, createReadyDriver, endedRunOf, reportedRunOf, snapshotOf, startsOf, submissionOf, taskOf, type Driver, type WorkerOptions,
} from '#test/support/scheduling';

/** Agents renew twice a second, and the scheduler checks four times a second. */
const checkMilliseconds = 250;
/** More frequent checks would take a scheduler's processor time. */
const shortestCheckMilliseconds = 20;
/** The start is stopped after 1.2 s. */
const stoppedAt = 1500;
const start = {task: taskOf(1), run: 1} as const;

function knowing(remainingMilliseconds: number | undefined, knownForMilliseconds = 60_000): UnansweredStarts {
	return {knownForMilliseconds, starts: remainingMilliseconds === undefined ? [] : [{...start, remainingMilliseconds}]};
}

const answer = (result: 'started' | 'no-room' | 'unknown'): SchedulerMessage => ({kind: 'start-answered', agent: 'a', answers: [{...start, result}]});
const renewal = (agent: string, worker: WorkerOptions = {}): SchedulerMessage => ({kind: 'renewed', agent, snapshot: snapshotOf(agent, worker)});
const confirmStop = (incarnation: string): SchedulerMessage => ({
	kind: 'stop-answered', agent: 'a', incarnation, orders: [start],
});
const stopConfirmed = confirmStop('1');
const left: SchedulerMessage = {
	kind: 'incarnation-ended', agent: 'a', worker: 'w-a' as WorkerId, incarnation: '1', ending: 'left', ended: [],
};

/** A further incarnation beside an agent that has started again and knows of no start. */
const returned = (change: WorkerOptions = {}): SchedulerMessage => renewal('a', {incarnation: '2', unansweredStarts: knowing(undefined, 0), ...change});
/** Room for the first task beside the second one. */
const withBoth: WorkerOptions = {capacity: {processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators: 9}};
const isStopOfStart = (effect: SchedulerEffect) => effect.kind === 'stop' && effect.incarnation === '2' && effect.orders.some(({task, run}) => task === start.task && run === start.run);

/** What the agent beside the first worker reports; undefined if it reports no worker. */
type Report = (time: number) => WorkerOptions | undefined;

/** Lets time pass while agents report; returns when, and beside which agent, tasks start. */
function observe(driver: Driver, duration: number, report: Report, other: WorkerOptions = {}): ReadonlyArray<Readonly<{agent: string; run: number; at: number}>> {
	const starts: Array<Readonly<{agent: string; run: number; at: number}>> = [];
	for (let passed = 0; passed < duration; passed += checkMilliseconds) {
		const snapshot = report(driver.time());
		const effects = [
			...driver.send(snapshot === undefined ? {kind: 'renewed', agent: 'a', snapshot: undefined} : renewal('a', snapshot)),
			...driver.send(renewal('b', other)),
			...driver.elapse(checkMilliseconds),
		];
		starts.push(...startsOf(effects).map(({agent, run}) => ({agent, run, at: driver.time()})));
	}

	return starts;
}

/** The agent lists the start as long as a late order may be carried out. */
const listed = (change: WorkerOptions = {}): Report => time => ({unansweredStarts: knowing(time < lateCallMilliseconds ? lateCallMilliseconds - time : undefined), ...change});

type Case = Readonly<{
	name: string;
	step?: Partial<JobStep>;
	/** Answer of the worker to the start. */
	answered?: 'started' | 'no-room' | 'unknown';
	/** After the start was stopped. */
	messages: readonly SchedulerMessage[];
	report: Report;
	/** What the agent beside the other worker reports. */
	other?: WorkerOptions;
	/** When the task may start again at the earliest, and beside which agents. */
	from: number;
	agents?: readonly string[];
}>;

const cases: readonly Case[] = [
	{
		name: 'the worker confirmed its stop (start carried out by a later incarnation beside the next run; worker that never answers chosen without end)',
		messages: [stopConfirmed], report: listed(), from: lateCallMilliseconds,
	},
	{
		name: 'the worker confirmed its stop and left; it may come back under its identifier (start carried out after the return)',
		messages: [stopConfirmed, renewal('a', {unansweredStarts: knowing(lateCallMilliseconds - stoppedAt)}), left],
		report: () => undefined,
		from: lateCallMilliseconds + maximumLeaseMilliseconds,
	},
	{
		name: 'the worker left before it confirmed a stop (start carried out after its return)',
		messages: [left], report: () => undefined, from: orderDeliveryMilliseconds + lateCallMilliseconds + maximumLeaseMilliseconds,
	},
	{
		name: 'the worker started again and confirmed the stop (start carried out by a third incarnation)',
		messages: [renewal('a', {incarnation: '2', unansweredStarts: knowing(lateCallMilliseconds - stoppedAt)}), confirmStop('2')], report: listed({incarnation: '2'}), from: lateCallMilliseconds,
	},
	{
		name: 'the agent started again and lost its list (start carried out although no agent knows of it)',
		messages: [stopConfirmed], report: time => ({unansweredStarts: knowing(undefined, time - stoppedAt)}), from: orderDeliveryMilliseconds + lateCallMilliseconds,
	},
	{
		name: 'the agent is of an earlier release (start carried out although no agent lists it)',
		messages: [stopConfirmed], report: () => ({unansweredStarts: undefined}), from: orderDeliveryMilliseconds + lateCallMilliseconds,
	},
	{
		name: 'all members of its gang wait with it (part of a gang beside a late start of another)',
		step: {count: 2, accelerators: 5, isGang: true},
		messages: [stopConfirmed, {
			kind: 'stop-answered', agent: 'b', incarnation: '1', orders: [{task: taskOf(1, 1), run: 1}],
		}],
		report: listed(),
		from: lateCallMilliseconds,
		agents: ['a', 'b'],
	},
	{
		name: 'its gang starts on another worker (worker that never answers chosen without end)',
		step: {count: 2, accelerators: 4, isGang: true},
		messages: [{
			kind: 'stop-answered', agent: 'a', incarnation: '1', orders: [start, {task: taskOf(1, 1), run: 1}],
		}],
		report: listed(),
		from: lateCallMilliseconds,
	},
	{
		name: 'no other worker has room (task that waits beside the only worker with room)',
		messages: [stopConfirmed], report: listed(), other: {capacity: {processorMillicores: 0, memoryMegabytes: 0, accelerators: 0}}, from: lateCallMilliseconds, agents: ['a'],
	},
	{
		name: 'a stop is listed as its end, so that the start was carried out (task that waits without reason)',
		messages: [], report: time => ({unansweredStarts: knowing(undefined, 0), ended: time < stoppedAt + 100 ? [endedRunOf(1, taskOf(1), 1, 'stopped')] : []}), from: stoppedAt,
	},
	{
		name: 'another worker took its place, which refuses the start (task that waits although the start is void)',
		messages: [stopConfirmed], report: () => ({worker: 'w-other' as WorkerId, unansweredStarts: knowing(undefined)}), from: stoppedAt, agents: ['a', 'b'],
	},
	{
		name: 'the agent knows that the start was refused or never arrived (task that waits although the start is void)',
		messages: [stopConfirmed], report: () => ({unansweredStarts: knowing(undefined)}), from: stoppedAt,
	},
	{
		name: 'the answer came after the stop was ordered, so that the start was carried out (task that waits without reason)',
		messages: [answer('started'), stopConfirmed], report: () => ({unansweredStarts: knowing(undefined, 0)}), from: stoppedAt,
	},
];

describe('a task whose start was not answered starts again only when that start cannot be carried out any more', () => {
	for (const {
		name, step = {}, messages, report, other, from, agents = ['b'],
	} of cases) {
		it(name, () => {
			const driver = createReadyDriver([['a']]);
			driver.send({kind: 'submitted', submission: submissionOf(1, [step])});
			driver.send(renewal('b'));
			driver.send(answer('unknown'));
			driver.elapse(stoppedAt);
			for (const message of messages) {
				expect(startsOf(driver.send(message)), 'starts when the run is released').to.deep.equal([]);
			}

			const starts = observe(driver, (2 * lateCallMilliseconds) + maximumLeaseMilliseconds - stoppedAt, report, other);
			expect(starts[0]?.run).to.equal(2);
			expect(starts[0]?.at).to.be.within(from, from + (3 * checkMilliseconds));
			expect(agents).to.include(starts[0]?.agent);
		});
	}

	it('a refused start delays nothing (task that waits although the worker did nothing)', () => {
		const driver = createReadyDriver([['a']]);
		driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
		driver.send(renewal('b'));
		// The agent reports while the call is under way.
		driver.send(renewal('a', {unansweredStarts: knowing(lateCallMilliseconds)}));
		expect(startsOf(driver.send(answer('no-room'))).map(({run}) => run)).to.deep.equal([2]);
	});

	it('the next check comes when the start can no longer be carried out (task that starts up to a tick later)', () => {
		const driver = createReadyDriver([['a']]);
		driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
		driver.send(answer('unknown'));
		driver.elapse(stoppedAt);
		driver.send(stopConfirmed);
		// The agent sent the start some milliseconds after the order.
		const listedAt = (time: number) => renewal('a', {unansweredStarts: knowing(lateCallMilliseconds + 20 - time)});
		driver.send(listedAt(driver.time()));
		let startedAt: number | undefined;
		while (startedAt === undefined && driver.time() < 2 * lateCallMilliseconds) {
			const delay = chooseTickDelay(driver.state(), driver.time());
			expect(delay).to.be.within(shortestCheckMilliseconds, checkMilliseconds);
			startedAt = startsOf(driver.elapse(delay)).length > 0 ? driver.time() : undefined;
			driver.send(driver.time() < lateCallMilliseconds + 20 ? listedAt(driver.time()) : renewal('a'));
		}

		expect(startedAt).to.equal(lateCallMilliseconds + 20);
	});

	it('a report that the start is void lets the task start at once (task that waits for the next tick)', () => {
		const driver = createReadyDriver([['a']]);
		driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
		driver.send(renewal('b'));
		driver.send(answer('unknown'));
		driver.elapse(orderDeliveryMilliseconds);
		driver.send(stopConfirmed);
		driver.send(renewal('a', {unansweredStarts: knowing(5000)}));
		driver.elapse(1000);
		expect(startsOf(driver.send(renewal('a', {unansweredStarts: knowing(undefined)}))).map(({run}) => run)).to.deep.equal([2]);
	});

	it('a new scheduler learns of the start from the agent (start of an earlier term carried out beside the next run)', () => {
		const driver = createDriver({epoch: 2});
		driver.send({kind: 'configured', configuration});
		driver.send(renewal('b'));
		driver.send(renewal('a', {unansweredStarts: knowing(5000)}));
		driver.send({
			kind: 'loaded', workers: [], jobs: [{
				submission: submissionOf(1, [{}]), isCancelled: false, progress: {outcome: 'running', tasks: {}, agents: ['a', 'b']}, keyVersion: 1,
			}],
		});
		const starts = observe(driver, 8000, time => ({unansweredStarts: knowing(time < 5000 ? 5000 - time : undefined)}));
		expect(starts[0]?.at).to.be.within(5000, 5000 + (2 * checkMilliseconds));
	});

	it('the other tasks of a job wait with one whose start crashed its worker (worker after worker crashes)', () => {
		const driver = createReadyDriver([['a']]);
		driver.send({kind: 'submitted', submission: submissionOf(1, [{count: 3, accelerators: 8}])});
		driver.send(answer('unknown'));
		const restarted = renewal('a', {incarnation: '2', lost: [start], unansweredStarts: knowing(lateCallMilliseconds)});
		expect([restarted, confirmStop('2'), restarted, renewal('b')].flatMap(message => startsOf(driver.send(message)))).to.deep.equal([]);
		expect(driver.state().jobs.first()?.tasks.get(taskOf(1))?.crashes).to.deep.equal([{run: 1, hadProgress: false}]);
		expect(startsOf(driver.elapse(1000))).to.deep.equal([]);
	});

	it('a start that is carried out late is the task\'s run (task that waits beside its own run)', () => {
		const driver = createReadyDriver([['a']]);
		driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
		driver.send(answer('unknown'));
		driver.elapse(stoppedAt);
		driver.send(stopConfirmed);
		driver.send(renewal('a', {unansweredStarts: knowing(lateCallMilliseconds - stoppedAt)}));
		driver.send(renewal('a', {incarnation: '2', running: [reportedRunOf(taskOf(1), 1)], unansweredStarts: knowing(undefined)}));
		expect(driver.state().jobs.first()?.tasks.get(taskOf(1))?.run).to.include({run: 1, stage: 'running', isStartConfirmed: true});
	});
});

type RoomCase = Readonly<{
	name: string;
	/** After the stop was confirmed by the first incarnation, and its agent has started again. */
	messages: readonly SchedulerMessage[];
	/** Time that passes before the worker reports once more. */
	pause?: number;
	stops: number;
	/** Whether a task that needs the whole worker starts there. */
	hasRoom: boolean;
}>;

const roomCases: readonly RoomCase[] = [
	{
		name: 'the next incarnation has not confirmed the stop (worker over its capacity)', messages: [returned()], stops: 1, hasRoom: false,
	},
	{
		name: 'the stop is not answered and ordered again (worker that never gets its room back)', messages: [returned()], pause: stopRetryMilliseconds + checkMilliseconds, stops: 2, hasRoom: false,
	},
	{
		name: 'the next incarnation confirmed the stop, as its next report shows (room that is held without reason)', messages: [returned(), confirmStop('2')], stops: 1, hasRoom: true,
	},
	{
		name: 'another incarnation confirmed the stop (worker over its capacity)', messages: [returned(), confirmStop('3')], stops: 1, hasRoom: false,
	},
	{
		name: 'the incarnation after the next one has not confirmed it (worker over its capacity)',
		messages: [returned(), confirmStop('2'), returned(), returned({incarnation: '3'})], stops: 1, hasRoom: false,
	},
	{
		name: 'the start was carried out, and its run is listed (stop of a run that its task adopted; room held twice)',
		messages: [returned({...withBoth, running: [reportedRunOf(start.task, 1)]})], stops: 0, hasRoom: true,
	},
	{
		name: 'the agent lists the start, so that the incarnation has confirmed its stop (message without need)', messages: [returned({unansweredStarts: knowing(5000)})], stops: 0, hasRoom: true,
	},
	{
		name: 'the incarnation that confirmed the stop is still there (message without need)', messages: [returned({incarnation: '1'})], stops: 0, hasRoom: true,
	},
	{
		name: 'a worker with another identifier refuses the start (message without need)', messages: [returned({...withBoth, worker: 'w-other' as WorkerId})], stops: 0, hasRoom: true,
	},
];

describe('room for a start that the present incarnation of a worker may still carry out', () => {
	for (const {
		name, messages, pause = 0, stops, hasRoom,
	} of roomCases) {
		it(name, () => {
			const driver = createReadyDriver([['a']]);
			driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			driver.send(answer('unknown'));
			driver.elapse(stoppedAt);
			driver.send(stopConfirmed);
			driver.send(renewal('a', {unansweredStarts: knowing(undefined, 0)}));
			const effects = messages.flatMap(message => driver.send(message));
			driver.elapse(pause);
			const last = messages.findLast(({kind}) => kind === 'renewed') ?? returned();
			effects.push(...driver.send(last), ...driver.send({kind: 'submitted', submission: submissionOf(2, [{accelerators: 8}])}), ...driver.elapse(checkMilliseconds));
			expect(effects.filter(effect => isStopOfStart(effect)).length, 'stops of the start').to.equal(stops);
			expect(startsOf(effects).some(({task}) => task === taskOf(2)), 'start of the second job').to.equal(hasRoom);
		});
	}
});
