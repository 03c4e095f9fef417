import {expect} from 'chai';
import {checkHistory} from '#soak/check';
import {planSoak} from '#soak/plan';
import type {CallRecord, History, RunRecord} from '#soak/types';

const job = '00000000000000f1';
const task = `${job}.0.0.0`;
const secondStepTask = `${job}.0.1.0`;

function runOf(change: Partial<RunRecord> = {}): RunRecord {
	return {
		worker: 'w', task, run: 1, startedAt: 1000, endedAt: 2000, ending: 'done', ...change,
	};
}

function callOf(action: CallRecord['action'], answeredAt: number, change: Partial<CallRecord> = {}): CallRecord {
	return {
		at: answeredAt - 10, answeredAt, entry: 0, action, job, status: 200, ...change,
	};
}

const accepted = callOf('submit', 500);
const completed = callOf('show', 3000, {state: 'completed'});

const calmPlan = {...planSoak(1, {entries: 1, workers: 1, seconds: 1}), faults: []};

type Case = Readonly<{name: string; history: Partial<History>; violated: readonly string[]}>;

const cases: readonly Case[] = [
	{name: 'accepts a job that ran once and was shown as completed', history: {calls: [accepted, completed], runs: [runOf()]}, violated: []},
	{
		name: 'reports overlapping runs of a task',
		history: {calls: [accepted, completed], runs: [runOf(), runOf({worker: 'v', run: 2, startedAt: 1500})]},
		violated: ['a task runs at one place at a time'],
	},
	{
		name: 'reports a run that overlaps with one that never ended',
		history: {calls: [accepted, completed], runs: [runOf({endedAt: undefined, ending: undefined}), runOf({run: 2, startedAt: 1500})]},
		violated: ['a task runs at one place at a time'],
	},
	{
		name: 'reports a start after a run that was done, when its end was acknowledged later (done task started again)',
		history: {calls: [accepted, callOf('show', 9000, {state: 'completed'})], runs: [runOf({notedAt: 7000}), runOf({run: 2, startedAt: 2500, endedAt: 3500})]},
		violated: ['a task that was done does not start again'],
	},
	{
		name: 'reports a start after a run that was done, when its end was listed with no fault near (done task started again)',
		history: {plan: calmPlan, calls: [accepted, callOf('show', 9000, {state: 'completed'})], runs: [runOf({listedAt: 2010}), runOf({run: 2, startedAt: 2500, endedAt: 3500})]},
		violated: ['a task that was done does not start again'],
	},
	{
		name: 'reports a start after a run that was done, when its end was listed with no fault near and the lease lapsed later (done task started again)',
		history: {plan: calmPlan, calls: [accepted, callOf('show', 9000, {state: 'completed'})], runs: [runOf({listedAt: 2010, lapsedAt: 2400}), runOf({run: 2, startedAt: 2500, endedAt: 3500})]},
		violated: ['a task that was done does not start again'],
	},
	{
		name: 'accepts a start after a run whose end was listed only after the lease had lapsed (check stricter than the rule)',
		history: {plan: calmPlan, calls: [accepted, callOf('show', 9000, {state: 'completed'})], runs: [runOf({listedAt: 6000, lapsedAt: 4000}), runOf({run: 2, startedAt: 5000, endedAt: 5500})]},
		violated: [],
	},
	{
		name: 'accepts a start after a run whose end was listed just before the lease lapsed, so that it could not be acknowledged (check stricter than the rule)',
		history: {plan: calmPlan, calls: [accepted, callOf('show', 9000, {state: 'completed'})], runs: [runOf({listedAt: 3950, lapsedAt: 4000}), runOf({run: 2, startedAt: 5000, endedAt: 5500})]},
		violated: [],
	},
	{
		name: 'accepts a start after a run whose end was listed under a fault and never acknowledged',
		history: {
			plan: {
				...calmPlan, faults: [{
					at: 1900, duration: 500, kind: 'kill-agent', index: 0,
				}],
			}, calls: [accepted, callOf('show', 9000, {state: 'completed'})], runs: [runOf({listedAt: 2010}), runOf({run: 2, startedAt: 2500, endedAt: 3500})],
		},
		violated: [],
	},
	{
		name: 'accepts a start after a run that was done and whose end was never listed',
		history: {plan: calmPlan, calls: [accepted, callOf('show', 9000, {state: 'completed'})], runs: [runOf(), runOf({run: 2, startedAt: 2500, endedAt: 3500})]},
		violated: [],
	},
	{
		name: 'accepts a run after a stopped run',
		history: {calls: [accepted, completed], runs: [runOf({endedAt: 1200, ending: 'stopped'}), runOf({run: 2, startedAt: 1300})]},
		violated: [],
	},
	{
		name: 'reports a refused job that ran',
		history: {calls: [callOf('submit', 500, {status: 503})], runs: [runOf()]},
		violated: ['what was refused does not run'],
	},
	{
		name: 'accepts a run of a job whose submission has an unknown outcome', history: {calls: [callOf('submit', 500, {status: 504})], runs: [runOf()]}, violated: [],
	},
	{
		name: 'reports an accepted job that an entry does not know',
		history: {calls: [accepted, callOf('show', 9000, {status: 410}), callOf('show', 9500, {state: 'completed'})], runs: [runOf()]},
		violated: ['an accepted job is known'],
	},
	{
		name: 'reports a job shown as completed before its task was done',
		history: {calls: [accepted, completed], runs: [runOf({endedAt: 4000})]},
		violated: ['a completed job has run'],
	},
	{
		name: 'reports a job that runs again after it was shown as completed',
		history: {calls: [accepted, completed], runs: [runOf(), runOf({run: 2, startedAt: 5000, endedAt: 6000})]},
		violated: ['a completed job does not run again'],
	},
	{
		name: 'reports a completed job that is shown as running afterwards',
		history: {calls: [accepted, completed, callOf('show', 4000, {state: 'running'}), callOf('show', 5000, {state: 'completed'})], runs: [runOf()]},
		violated: ['a completed job stays completed'],
	},
	{
		name: 'reports a step that started before its predecessor was done',
		history: {
			jobs: [{job, steps: [{count: 1, after: []}, {count: 1, after: [0]}]}], calls: [accepted, completed], runs: [runOf(), runOf({task: secondStepTask, startedAt: 1500})],
		},
		violated: ['steps run in their order'],
	},
	{
		name: 'reports a start in a closed zone after the bound, and none before it, elsewhere or later (check that finds nothing)',
		history: {
			plan: {
				...calmPlan, faults: [{
					at: 0, duration: 9000, kind: 'close-zone', zone: 'z-1',
				}],
			},
			calls: [accepted, callOf('show', 20_000, {state: 'completed'})],
			runs: [[4000, 'i-1'], [7000, 'i-1'], [8000, 'i-2'], [9500, 'i-1']].map(([startedAt, worker], index) => runOf({
				worker: String(worker), run: index + 1, startedAt: Number(startedAt), endedAt: Number(startedAt) + 100, ending: index === 3 ? 'done' : 'stopped',
			})),
		},
		violated: ['no task starts in a closed zone'],
	},
	{
		name: 'reports a start long after a cancellation',
		history: {calls: [accepted, callOf('cancel', 900)], runs: [runOf({startedAt: 20_000, endedAt: 20_100, ending: 'stopped'})]},
		violated: ['a cancelled job does not run'],
	},
	{
		name: 'reports a start long after a cancellation that found no job',
		history: {calls: [callOf('submit', 500, {status: 504}), callOf('cancel', 900, {status: 410})], runs: [runOf({startedAt: 20_000, endedAt: 20_100})]},
		violated: ['a cancelled job does not run'],
	},
	{
		name: 'reports a withdrawn job that ran',
		history: {calls: [callOf('submit', 500, {status: 410})], runs: [runOf()]},
		violated: ['what was refused does not run'],
	},
	{
		name: 'reports an accepted job that never ends',
		history: {calls: [accepted, callOf('show', 60_000, {state: 'running'})], runs: [runOf({ending: 'stopped'})]},
		violated: ['an accepted job completes'],
	},
	{
		name: 'reports an entry without the newest configuration',
		history: {calls: [accepted, completed], runs: [runOf()], newestQueue: [200, 404]},
		violated: ['an accepted configuration is in force everywhere'],
	},
];

describe('invariant checks of the soak', () => {
	for (const {name, history, violated} of cases) {
		it(name, () => {
			const complete: History = {
				plan: planSoak(1, {entries: 1, workers: 1, seconds: 1}),
				startedAt: 0,
				calmAt: 50_000,
				endedAt: 60_000,
				jobs: [{job, steps: [{count: 1, after: []}]}],
				calls: [],
				runs: [],
				newestQueue: [],
				...history,
			};
			expect(checkHistory(complete).map(({invariant}) => invariant)).to.deep.equal(violated);
		});
	}
});
