/** A worker gets no starts while an acknowledgement that an earlier process of its agent sent may discard ends of its present incarnation: the task of such an end would start again. */
import {expect} from 'chai';
import type {WorkerId} from '#core';
import {lateCallMilliseconds, type Acknowledgements} from '#jobs';
import type {SchedulerMessage} from '#scheduling';
import {
	createReadyDriver, endedRunOf, snapshotOf, startsOf, submissionOf, taskOf, type WorkerOptions,
} from '#test/support/scheduling';

/** Agents renew twice a second, and the scheduler checks four times a second. */
const checkMilliseconds = 250;
/** How long before its first report a process of the agent began. */
const startupMilliseconds = 500;

function reportBy(process: string, incarnation: string, change: WorkerOptions = {}): SchedulerMessage {
	return {
		kind: 'renewed', agent: 'a', process, snapshot: snapshotOf('a', {incarnation, unansweredStarts: {knownForMilliseconds: startupMilliseconds, starts: []}, ...change}),
	};
}

const knowing = (acknowledgements: Acknowledgements): SchedulerMessage => reportBy('1', '1', {acknowledgements});
const answered = knowing({answeredEnd: 1});
const returned = reportBy('2', '2');
const left: SchedulerMessage = {
	kind: 'incarnation-ended', agent: 'a', worker: 'w-a' as WorkerId, incarnation: '1', ending: 'left', ended: [],
};
/** A run of the first job ended, and its end is stored. */
const ended = reportBy('1', '1', {ended: [endedRunOf(1, taskOf(1), 1, 'done')]});
const barredFor = lateCallMilliseconds - startupMilliseconds;

type Case = Readonly<{
	name: string;
	/** Messages, and times that pass between them; the last one is the report of the incarnation to which a second job may be sent. */
	events: ReadonlyArray<SchedulerMessage | number>;
	/** How long after the last event the worker may get starts. */
	from: number;
}>;

const cases: readonly Case[] = [
	{name: 'no report shows the acknowledgement as answered (done task started again)', events: [ended, returned], from: barredFor},
	{
		name: 'a later one is not answered (done task started again)',
		events: [ended, knowing({answeredEnd: 1, isPending: true, remainingMilliseconds: lateCallMilliseconds}), returned],
		from: barredFor,
	},
	{name: 'an earlier call was not answered (done task started again)', events: [ended, knowing({answeredEnd: 1, remainingMilliseconds: 4000}), 1000, returned], from: 3000},
	{
		name: 'an earlier scheduler granted it (done task started again)',
		events: [knowing({answeredEnd: 0, isPending: true, remainingMilliseconds: lateCallMilliseconds}), returned],
		from: barredFor,
	},
	{name: 'the worker had left (done task started again after its return)', events: [ended, left, 2000, returned], from: barredFor},
	{name: 'the agent was lost for long before (done task started again after its return)', events: [ended, {kind: 'detached', agent: 'a'}, 60_000, returned], from: barredFor},
	{name: 'a further incarnation follows (done task started again)', events: [ended, returned, 1000, reportBy('2', '3')], from: barredFor - 1000},
	{name: 'a further process follows (done task started again)', events: [ended, returned, 1000, reportBy('3', '3')], from: barredFor - 1000},
	{
		name: 'the next process took over the same incarnation first (done task started again)',
		events: [ended, reportBy('2', '1', {acknowledgements: {answeredEnd: 1}}), 1000, returned],
		from: barredFor - 1000,
	},
	{
		name: 'the earlier process reported the incarnation, and then ended (done task started again)',
		events: [ended, reportBy('1', '2', {isResponsive: false}), 1000, returned],
		from: lateCallMilliseconds - 1000,
	},
	{name: 'it was answered (worker idle without need)', events: [ended, answered, returned], from: 0},
	{name: 'it can no longer be carried out (worker idle without need)', events: [ended, knowing({answeredEnd: 1, remainingMilliseconds: 400}), 500, returned], from: 0},
	{name: 'no end was acknowledged (worker idle without need)', events: [returned], from: 0},
	{name: 'the process that sent it is still there, and bars starts by itself (worker idle without need)', events: [ended, reportBy('1', '2')], from: 0},
	{name: 'the incarnation is the same (worker idle without need)', events: [ended, reportBy('2', '1')], from: 0},
	{name: 'the worker has another identifier (worker idle without need)', events: [ended, reportBy('2', '2', {worker: 'w-other' as WorkerId})], from: 0},
];

describe('starts on a worker whose ends an acknowledgement by an earlier process of its agent may discard', () => {
	for (const {name, events, from} of cases) {
		it(name, () => {
			const driver = createReadyDriver([]);
			driver.send(reportBy('1', '1'));
			driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
			driver.send({kind: 'start-answered', agent: 'a', answers: [{task: taskOf(1), run: 1, result: 'started'}]});
			driver.send(reportBy('1', '1', {
				running: [{
					task: taskOf(1), run: 1, checkpoint: '', percent: 50,
				}],
			}));
			if (!events.includes(ended)) {
				driver.send({kind: 'cancelled', job: submissionOf(1, [{}]).job});
			}

			for (const event of events) {
				if (typeof event === 'number') {
					driver.elapse(event);
				} else {
					driver.send(event);
				}
			}

			const last = events.at(-1);
			const reportedAt = driver.time();
			let startedAt = startsOf(driver.send({kind: 'submitted', submission: submissionOf(2, [{}])})).length > 0 ? reportedAt : undefined;
			while (startedAt === undefined && driver.time() < reportedAt + (2 * lateCallMilliseconds)) {
				const effects = [...driver.elapse(checkMilliseconds), ...(typeof last === 'object' ? driver.send(last) : [])];
				startedAt = startsOf(effects).some(({task}) => task === taskOf(2)) ? driver.time() : undefined;
			}

			expect((startedAt ?? Infinity) - reportedAt).to.be.within(from, from + (2 * checkMilliseconds));
		});
	}
});
