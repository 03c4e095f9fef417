import {expect} from 'chai';
import type {JobId, PlanName} from '#core';
import {
	createReservationState, listHoldings, receiveReservationMessage, type ReservationEffect, type ReservationMessage, type ReservationState,
} from '#reservations';

const jobOf = (name: string) => name as JobId;
const leaseMilliseconds = 5000;

type ReserveOptions = Readonly<{attempt?: number; accelerators?: readonly number[]; plan?: string; submittedAt?: number; preemptible?: boolean}>;

function reserve(job: string, {attempt = 1, accelerators = [0, 1], plan = 'rosters', submittedAt = 10, preemptible = false}: ReserveOptions = {}): ReservationMessage {
	return {
		kind: 'reserve', job: jobOf(job), attempt, plan: plan as PlanName, submittedAt, preemptible, members: [{member: 0, accelerators}], leaseMilliseconds, replyId: 1,
	};
}

const commit = (job: string, attempt = 1): ReservationMessage => ({
	kind: 'commit', job: jobOf(job), attempt, leaseMilliseconds, replyId: 1,
});
const start = (job: string, attempt = 1): ReservationMessage => ({
	kind: 'start', job: jobOf(job), attempt, operation: 'cut', payload: {}, checkpoints: {}, leaseMilliseconds, replyId: 1,
});
const stop = (job: string, attempt = 1): ReservationMessage => ({
	kind: 'stop', job: jobOf(job), attempt, mode: 'stop', replyId: 1,
});
const renew = (job: string, attempt: number, raiseTo?: number): ReservationMessage => ({
	kind: 'renew', gangs: [{job: jobOf(job), attempt, raiseTo}], leaseMilliseconds, replyId: 1,
});
const stopped = (job: string, attempt = 1): ReservationMessage => ({kind: 'task-stopped', task: {job: jobOf(job), attempt, member: 0}, wasStarted: true});
const finished = (job: string, attempt = 1): ReservationMessage => ({
	kind: 'task-finished', task: {job: jobOf(job), attempt, member: 0}, status: 'succeeded', body: 'done',
});
const run = (job: string, options: ReserveOptions = {}): readonly ReservationMessage[] => [reserve(job, options), commit(job, options.attempt), start(job, options.attempt)];
const cell = (plan: string): ReservationMessage => ({kind: 'slice-received', cells: [{plan: plan as PlanName, accelerators: [0, 1, 2, 3]}], layoutRevision: 1});
const tick: ReservationMessage = {kind: 'tick'};
const wait = (milliseconds: number) => ({kind: 'wait', milliseconds} as const);

/** The owner of a cell reserves accelerators that a borrower uses. */
const reclaim: readonly ReservationMessage[] = [cell('urgent'), ...run('a', {preemptible: true}), reserve('u', {plan: 'urgent'})];

const runForMoreThanADay = [...run('a'), {...renew('a', 1), leaseMilliseconds: 100_000_000}, wait(90_000_000)] as const;

type Event = ReservationMessage | ReturnType<typeof wait>;

type Case = Readonly<{
	name: string;
	events: readonly Event[];
	/** Effects of the last event: the answer of a reply, the end reason of a notification, and the kind of any other effect. */
	expected: readonly unknown[];
	holding?: readonly string[];
}>;

const refused = (reason: string) => ({reply: {kind: 'refused', reason}});
const accepted = {reply: {kind: 'accepted'}};

const cases: readonly Case[] = [
	{name: 'a lower attempt is refused', events: [reserve('a', {attempt: 3}), reserve('a', {attempt: 2})], expected: [refused('stale-attempt')]},
	{
		name: 'a lower attempt is refused after the record of its job was deleted',
		events: [...run('a', {attempt: 3}), finished('a', 3), wait(3_600_000), tick, reserve('a', {attempt: 2})],
		expected: [refused('stale-attempt')],
	},
	{
		name: 'a stop long after the end of a gang that ran for more than a day does not report that it never started (job run twice)',
		events: [...runForMoreThanADay, finished('a'), wait(3_600_000), tick, stop('a')],
		expected: [{reply: {kind: 'stopped', checkpoints: {}}}],
	},
	{
		name: 'a lower attempt is refused after the record of a job that ran for more than a day was deleted',
		events: [...runForMoreThanADay, renew('a', 1, 2), finished('a'), wait(3_600_000), tick, reserve('a')],
		expected: [refused('stale-attempt')],
	},
	{
		name: 'a reservation that arrives after its stop is refused', events: [stop('a'), reserve('a')], expected: [refused('stale-attempt')], holding: [],
	},
	{
		name: 'a stop of an attempt that never started reports that it never started',
		events: [reserve('a'), commit('a'), stop('a')],
		expected: [{reply: {kind: 'never-started'}}],
		holding: [],
	},
	{
		name: 'a stop of a later attempt does not hide that an earlier one started',
		events: [...run('a'), stop('a'), stopped('a'), reserve('a', {attempt: 2}), stop('a', 2)],
		expected: [{reply: {kind: 'stopped', checkpoints: {}}}],
	},
	{
		name: 'a stop by a previous owner does not end the gang of the current one',
		events: [...run('a'), renew('a', 1, 2), stop('a', 1)],
		expected: [{reply: {kind: 'stopped', checkpoints: {}}}],
		holding: ['a'],
	},
	{
		name: 'an owner that was paused beyond its reservation lease cannot commit',
		events: [reserve('a'), wait(5000), commit('a')],
		expected: [{ended: 'lease-lapsed'}, refused('lease-lapsed')],
		holding: [],
	},
	{
		name: 'an owner that was paused beyond its commit lease cannot start',
		events: [reserve('a'), commit('a'), wait(5000), start('a')],
		expected: [{ended: 'lease-lapsed'}, refused('lease-lapsed')],
		holding: [],
	},
	{
		name: 'a member that finishes after its lease expired does not count as finished',
		events: [...run('a'), wait(5000), finished('a')],
		expected: ['stop-task', {ended: 'lease-lapsed'}],
	},
	{
		name: 'accelerators stay held until the worker confirms the stop',
		events: [...run('a'), wait(5000), tick, reserve('b')],
		expected: [refused('accelerators-busy')],
		holding: ['a'],
	},
	{
		name: 'a stop that the worker does not confirm is sent again',
		events: [...run('a'), wait(5000), tick, wait(1000), tick],
		expected: ['stop-task', 'schedule-tick'],
	},
	{name: 'a repeated start is accepted but starts nothing', events: [...run('a'), start('a')], expected: [accepted]},
	{name: 'a start without a commit is refused', events: [reserve('a'), start('a')], expected: [refused('invalid-request')]},
	{
		name: 'an older job displaces a younger reservation',
		events: [reserve('b', {submittedAt: 20}), reserve('a')],
		expected: [{ended: 'older-gang-waiting'}, accepted],
		holding: ['a'],
	},
	{
		name: 'a younger job waits for an older reservation',
		events: [reserve('a'), reserve('b', {submittedAt: 20})],
		expected: [refused('older-gang-waiting')],
		holding: ['a'],
	},
	{
		name: 'an older job does not displace a younger one that is committed',
		events: [reserve('b', {submittedAt: 20}), commit('b'), reserve('a')],
		expected: [refused('accelerators-busy')],
		holding: ['b'],
	},
	{
		name: 'a refused reservation displaces no other reservation',
		events: [reserve('b', {submittedAt: 20, accelerators: [0]}), ...run('c', {accelerators: [1]}), reserve('a')],
		expected: [refused('accelerators-busy')],
		holding: ['b', 'c'],
	},
	{
		name: 'a non-preemptible job does not borrow a cell',
		events: [cell('urgent'), reserve('a')],
		expected: [refused('cell-not-owned')],
		holding: [],
	},
	{
		name: 'a borrower is asked to checkpoint, and the owner to retry after the grace period',
		events: [...reclaim],
		expected: ['checkpoint-task', {reply: {kind: 'reclaiming', retryAfterMilliseconds: 2250}}],
	},
	{
		name: 'a borrower that does not checkpoint is stopped when the grace period ends',
		events: [...reclaim, wait(2000), tick],
		expected: ['stop-task', 'schedule-tick'],
	},
	{
		name: 'a borrower cannot reserve a cell again while the cell is being reclaimed',
		events: [...reclaim, wait(2000), stopped('a'), reserve('a', {attempt: 2, preemptible: true})],
		expected: [refused('accelerators-busy')],
		holding: ['u'],
	},
	{
		name: 'the owner of a cell gets its reservation once the borrower has stopped',
		events: [...reclaim, wait(2000), stopped('a'), reserve('u', {plan: 'urgent'})],
		expected: [accepted],
		holding: ['u'],
	},
	{
		name: 'a job that started before the cell was guaranteed is evicted too',
		events: [...run('a'), cell('urgent'), reserve('u', {plan: 'urgent'})],
		expected: ['checkpoint-task', {reply: {kind: 'reclaiming', retryAfterMilliseconds: 2250}}],
	},
	{
		name: 'the slice of an older layout is ignored',
		events: [cell('urgent'), {kind: 'slice-received', cells: [], layoutRevision: 0}, reserve('a')],
		expected: [refused('cell-not-owned')],
	},
	{
		name: 'a notification of an end that no entry acknowledged is sent again',
		events: [...run('a'), finished('a'), wait(2000), tick],
		expected: [{ended: 'finished'}, 'schedule-tick'],
	},
	{
		name: 'a notification of an end that was acknowledged is not sent again', events: [...run('a'), finished('a'), {
			kind: 'ended-acknowledged', job: jobOf('a'), attempt: 1, member: 0,
		}, wait(2000), tick], expected: ['schedule-tick'],
	},
	{
		name: 'a renewal reports a gang whose lease expired',
		events: [...run('a'), wait(5000), renew('a', 1)],
		expected: ['stop-task', {reply: {kind: 'renewed', lapsed: [{job: 'a', attempt: 1}], ended: []}}],
	},
	{
		name: 'a second adoption finds a gang whose attempt the first one raised',
		events: [...run('a'), renew('a', 1, 2), renew('a', 1, 3), renew('a', 3)],
		expected: ['renew-tasks', {reply: {kind: 'renewed', lapsed: [], ended: []}}],
		holding: ['a'],
	},
	{
		name: 'accelerators of a task stay held when the worker does not respond about it',
		events: [...run('a'), {kind: 'task-lost', task: {job: jobOf('a'), attempt: 1, member: 0}}, reserve('b')],
		expected: [refused('accelerators-busy')],
		holding: ['a'],
	},
	{
		name: 'a draining agent refuses reservations', events: [{kind: 'drain'}, reserve('a')], expected: [refused('draining')], holding: [],
	},
];

function describeEffect(effect: ReservationEffect): unknown {
	switch (effect.kind) {
		case 'reply': {
			return {reply: effect.answer};
		}

		case 'notify-ended': {
			return {ended: effect.state.kind === 'stopped' ? effect.state.reason : effect.state.kind};
		}

		case 'start-task':
		case 'renew-tasks':
		case 'checkpoint-task':
		case 'stop-task':
		case 'schedule-tick': {
			return effect.kind;
		}
	}
}

describe('reservations of one agent', () => {
	for (const {name, events, expected, holding} of cases) {
		it(name, () => {
			let monotonic = 100;
			let state: ReservationState = createReservationState({accelerators: 4, graceMilliseconds: 2000, acceptsFrom: 0});
			let effects: readonly ReservationEffect[] = [];
			for (const event of events) {
				if (event.kind === 'wait') {
					monotonic += event.milliseconds;
				} else {
					({state, effects} = receiveReservationMessage(state, event, {monotonic}));
				}
			}

			expect(effects.map(describeEffect)).to.deep.equal(expected);
			if (holding !== undefined) {
				expect(listHoldings(state).map(({job}) => job)).to.deep.equal(holding);
			}
		});
	}
});
