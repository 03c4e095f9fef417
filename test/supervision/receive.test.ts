import {expect} from 'chai';
import type {WorkerId} from '#core';
import type {ServiceName, TaskName} from '#jobs';
import {
	computeLeaseDeadline, describeWorker, initialSupervisionState, receiveSupervisionMessage, type Announcement, type LeaseExtension, type SupervisionEffect, type SupervisionMessage,
	type SupervisionState,
} from '#supervision';

const options = {maximumLeaseMilliseconds: 6000};
const task = '00000000000000a1.0.0.0' as TaskName;

function announcement(change: Partial<Announcement> = {}): Announcement {
	return {
		worker: 'w' as WorkerId, incarnation: '100', startedAt: 100, sequence: 1, service: 'svc' as ServiceName, zone: 'z', labels: ['a', 'r'], rack: 'r',
		capacity: {processorMillicores: 1, memoryMegabytes: 1, accelerators: 1}, state: 'ready', leavesInMilliseconds: undefined, clock: 50_000, ...change,
	};
}

function drive(messages: ReadonlyArray<readonly [number, SupervisionMessage, number?]>): Readonly<{state: SupervisionState; effects: readonly SupervisionEffect[]}> {
	let state = initialSupervisionState;
	let effects: readonly SupervisionEffect[] = [];
	for (const [monotonic, message, now = monotonic] of messages) {
		const step = receiveSupervisionMessage(state, message, {now, monotonic}, options);
		state = step.state;
		effects = step.effects;
	}

	return {state, effects};
}

const granted: SupervisionMessage = {
	kind: 'granted', epoch: 3, sentAt: 0, validity: 7500, incarnation: '100', notedEnd: 0,
};

function orderOf(change: Partial<LeaseExtension> = {}): LeaseExtension {
	return {
		worker: 'w' as WorkerId, incarnation: '100', epoch: 3, deadline: 56_000, leaseUntil: 6000, notedEnd: 0, wait: 0, isRecurring: false, ...change,
	};
}

function held(clock: number, change: Readonly<{running?: readonly string[]; incarnation?: string}> = {}): SupervisionMessage {
	return {
		kind: 'held',
		order: orderOf(),
		result: {
			kind: 'held', incarnation: change.incarnation ?? '100', clock, running: (change.running ?? []).map(name => ({
				task: name as TaskName, run: 1, checkpoint: '', percent: 5,
			})), ended: [],
		},
	};
}

/** A run that was started at 10 ms, when the worker's clock showed 50,010 ms. */
const startedAt10: ReadonlyArray<readonly [number, SupervisionMessage]> = [
	[0, {kind: 'announced', announcement: announcement()}],
	[0, granted],
	[0, held(50_000)],
	[10, {
		kind: 'started', incarnation: '100', task, run: 1, clock: 50_010,
	}],
];

type Case = Readonly<{name: string; run(): void}>;

const cases: readonly Case[] = [
	{
		name: 'nothing is reported before the worker has answered with the epoch (late orders of an earlier scheduler)',
		run() {
			const {state, effects} = drive([[0, {kind: 'announced', announcement: announcement()}], [0, granted]]);
			expect(describeWorker(state, 0)).to.equal(undefined);
			expect(effects.filter(({kind}) => kind === 'hold')).to.have.length(1);
			expect(describeWorker(drive([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [5, held(50_005)]]).state, 5)).to.include({worker: 'w'});
		},
	},
	{
		name: 'leases end with the grant, however often they are extended (work goes on beside its second run)',
		run() {
			const {state} = drive([[0, {kind: 'announced', announcement: announcement()}], [0, granted]]);
			expect(computeLeaseDeadline(state, 1000, options).leaseUntil).to.equal(7000);
			expect(computeLeaseDeadline(state, 5000, options).leaseUntil).to.equal(7500);
			expect(computeLeaseDeadline(state, 7500, options).deadline).to.equal(undefined);
		},
	},
	{
		name: 'the grant counts from before the renewal was sent (answer that was held up)',
		run() {
			const {state} = drive([[0, {kind: 'announced', announcement: announcement()}], [4000, granted]]);
			expect(computeLeaseDeadline(state, 4000, options).leaseUntil).to.equal(7500);
		},
	},
	{
		name: 'a deadline is never ahead on a worker whose clock is slow',
		run() {
			const {state} = drive([[0, {kind: 'announced', announcement: announcement()}], [0, granted]]);
			expect(computeLeaseDeadline(state, 1000, options).deadline).to.equal(50_980 + 6000);
		},
	},
	{
		name: 'a grant of an earlier scheduler changes nothing (two schedulers)',
		run() {
			const {state} = drive([[0, {kind: 'announced', announcement: announcement()}], [0, {kind: 'epoch-raised', epoch: 4}], [0, granted]]);
			expect(state).to.include({epoch: 4, grantUntil: 0});
		},
	},
	{
		name: 'a list that was overtaken by a newer one changes nothing (run seen as gone)',
		run() {
			const {state} = drive([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [20, held(50_020, {running: [task]})], [21, held(50_010)]]);
			expect(state.worker?.running.map(row => row.task)).to.deep.equal([task]);
		},
	},
	{
		name: 'a list of another life of the worker changes nothing',
		run() {
			const {state} = drive([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [20, held(50_020, {running: [task], incarnation: '200'})]]);
			expect(state.worker?.running).to.deep.equal([]);
		},
	},
	{
		name: 'a delayed announcement of an earlier life does not replace the present one',
		run() {
			const {state} = drive([
				[0, {kind: 'announced', announcement: announcement({incarnation: '200', startedAt: 200})}],
				[1, {
					kind: 'announced', announcement: announcement({
						worker: 'old' as WorkerId, incarnation: '100', startedAt: 100, sequence: 9,
					}),
				}],
			]);
			expect(state.worker?.announcement.incarnation).to.equal('200');
		},
	},
	{
		name: 'an older announcement of this life does not take back that it drains',
		run() {
			const {state} = drive([
				[0, {kind: 'announced', announcement: announcement({sequence: 5, state: 'draining'})}],
				[1, {kind: 'announced', announcement: announcement({sequence: 4})}],
			]);
			expect(state.worker?.announcement.state).to.equal('draining');
		},
	},
	{
		name: 'a worker that turns silent is reported, and its lease is over only after all margins (runs declared lost too early)',
		run() {
			const {state, effects} = drive([
				[0, {kind: 'announced', announcement: announcement()}],
				[0, granted],
				[0, held(50_000)],
				[100, {kind: 'hold-due'}],
				[900, {kind: 'held', order: orderOf({leaseUntil: 6100}), result: {kind: 'failed', message: 'timed out'}}],
			]);
			expect(effects).to.deep.include({kind: 'renew'});
			expect(describeWorker(state, 6200)).to.include({isResponsive: false, isLeaseOver: false});
			expect(describeWorker(state, 6600)).to.include({isLeaseOver: true});
		},
	},
	{
		name: 'a silent worker gets no longer leases, so that its lease ends (runs of a worker that is gone never start again)',
		run() {
			const failed = {kind: 'held', order: orderOf({leaseUntil: 6100, isRecurring: true}), result: {kind: 'failed', message: 'other side closed'}} as const;
			const {state, effects} = drive([
				[0, {kind: 'announced', announcement: announcement()}],
				[0, granted],
				[0, held(50_000)],
				[100, {kind: 'hold-due'}],
				[200, failed],
				[450, {...granted, sentAt: 400}],
				[450, {kind: 'hold-due'}],
			]);
			const hold = effects.find(effect => effect.kind === 'hold');
			expect(hold?.order).to.include({deadline: undefined});
			expect(describeWorker(state, 6900)).to.include({isLeaseOver: true});
			const back = receiveSupervisionMessage(state, {...held(50_500), order: orderOf({isRecurring: true})} as SupervisionMessage, {now: 500, monotonic: 500}, options);
			expect(back.effects.some(effect => effect.kind === 'hold' && effect.order.deadline !== undefined)).to.equal(true);
		},
	},
	{
		name: 'every lease that was asked for counts, also by calls beside the loop and by starts without an answer (runs declared lost too early)',
		run() {
			const cases: ReadonlyArray<readonly [number, SupervisionMessage]> = [
				[1000, {...granted, epoch: 4, sentAt: 1000}],
				[1000, {kind: 'lease-asked', incarnation: '100', leaseUntil: 7000}],
			];
			for (const message of cases) {
				const {state} = drive([
					[0, {kind: 'announced', announcement: announcement()}],
					[0, granted],
					[0, held(50_000)],
					[100, {kind: 'hold-due'}],
					message,
				]);
				expect(state.worker?.leaseUntil).to.equal(7000);
			}
		},
	},
	{
		name: 'a run that was started is reported before the next list (run seen as vanished)',
		run() {
			const {state} = drive([
				...startedAt10,
				[11, held(50_005)],
			]);
			expect(describeWorker(state, 11)?.running.map(row => row.task)).to.deep.equal([task]);
		},
	},
	{
		name: 'a list of the same millisecond as a start does not take the run away (run seen as vanished and stopped)',
		run() {
			const {state} = drive([
				...startedAt10,
				[11, held(50_010)],
			]);
			expect(describeWorker(state, 11)?.running.map(row => row.task)).to.deep.equal([task]);
			const later = receiveSupervisionMessage(state, held(50_011), {now: 12, monotonic: 12}, options);
			expect(describeWorker(later.state, 12)?.running).to.deep.equal([]);
		},
	},
	{
		name: 'while ends wait to be stored the worker is asked with pauses, since it answers at once (calls without end in an outage of the store)',
		run() {
			const ended = {
				number: 1, task, run: 1, ending: 'done', checkpoint: '',
			} as const;
			const answer: SupervisionMessage = {
				kind: 'held', order: orderOf({isRecurring: true, wait: 1000}), result: {
					kind: 'held', incarnation: '100', clock: 50_100, running: [], ended: [ended],
				},
			};
			const {effects} = drive([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [0, held(50_000)], [100, {kind: 'hold-due'}], [110, answer]]);
			expect(effects.filter(({kind}) => kind === 'hold')).to.deep.equal([]);
			expect(effects.some(({kind}) => kind === 'schedule-hold')).to.equal(true);
			const noted = drive([
				[0, {kind: 'announced', announcement: announcement()}], [0, granted], [0, held(50_000)], [100, {kind: 'hold-due'}], [110, answer], [130, {...granted, notedEnd: 1}],
			]);
			expect(noted.effects.filter(({kind}) => kind === 'hold')).to.have.length(1);
		},
	},
	{
		name: 'a grant from before the machine was suspended counts no longer (lease extended beside a second run)',
		run() {
			const {state} = drive([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [1000, {kind: 'hold-due'}, 7000]]);
			expect(computeLeaseDeadline(state, 1000, options).deadline).to.equal(undefined);
		},
	},
	{
		name: 'a worker that left is told with its life',
		run() {
			const {effects} = drive([[0, {kind: 'announced', announcement: announcement()}], [1, {kind: 'departed', worker: 'w' as WorkerId}]]);
			expect(effects).to.deep.include({kind: 'say-left', worker: 'w', incarnation: '100'});
		},
	},
];

describe('decisions of the agent beside a worker', () => {
	for (const {name, run} of cases) {
		it(name, run);
	}
});
