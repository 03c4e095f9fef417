import {expect} from 'chai';
import type {
	EntryId, Incarnation, WorkerId, ZoneName,
} from '#core';
import {
	adoptJob, beginPlacing, beginRunning, cancelJob, resolveGangLoss, createJobRecord, describeJob, requeueJob, type GangLoss, type JobRecord,
} from '#recovery';
import {createWork} from '#test/support/gangs/work';

const zone = 'north-a' as ZoneName;
const members = [0, 1].map(member => ({member, accelerators: [member], place: {worker: 'worker-1' as WorkerId, incarnation: 'first' as Incarnation}}));
const create = (idempotent: boolean) => createJobRecord(createWork(1, {idempotent}), {owner: 'entry-1' as EntryId, zone}, 10);
const place = (idempotent: boolean) => beginPlacing(create(idempotent), members);
const run = (idempotent: boolean) => beginRunning(place(idempotent), 20);
const loss: GangLoss = {
	reason: 'lease-lapsed', neverStarted: false, isUncertain: false, checkpoints: {},
};

type Case = Readonly<{name: string; record: JobRecord; expected: Readonly<Record<string, unknown>>}>;

const cases: readonly Case[] = [
	{
		name: 'requeues an idempotent job after its gang is lost',
		record: resolveGangLoss(run(true), loss, 30), expected: {state: 'queued'},
	},
	{
		name: 'does not requeue a non-idempotent job after a member may have started',
		record: resolveGangLoss(run(false), loss, 30), expected: {state: 'failed', outcome: 'stopped', reason: 'lease-lapsed'},
	},
	{
		name: 'reports a non-idempotent job as unknown if an agent was lost and its progress is unknown',
		record: resolveGangLoss(run(false), {...loss, isUncertain: true}, 30), expected: {state: 'unknown', outcome: 'unknown'},
	},
	{
		name: 'requeues a job if every agent confirmed that no member started',
		record: resolveGangLoss(run(false), {...loss, neverStarted: true}, 30), expected: {state: 'queued'},
	},
	{
		name: 'requeues a job with a checkpoint of every member',
		record: resolveGangLoss(run(false), {...loss, checkpoints: {0: 'half', 1: 'half'}}, 30), expected: {state: 'queued'},
	},
	{
		name: 'does not requeue a job with checkpoints of only some members',
		record: resolveGangLoss(run(false), {...loss, checkpoints: {0: 'half'}}, 30), expected: {state: 'failed'},
	},
	{
		name: 'reports a job cancelled before its start as not run',
		record: cancelJob(requeueJob(place(false)), 30), expected: {state: 'cancelled', outcome: 'not-run'},
	},
	{
		name: 'does not report a job as not run if it was cancelled after an earlier attempt had started',
		record: cancelJob(resolveGangLoss(run(true), loss, 30), 40), expected: {state: 'cancelled', outcome: 'stopped'},
	},
	{
		name: 'does not change a job that has ended',
		record: beginPlacing(cancelJob(create(true), 30), members), expected: {state: 'cancelled', outcome: 'not-run'},
	},
	{
		name: 'increments the attempt on adoption, so that agents refuse the former owner',
		record: adoptJob(run(false), {owner: 'entry-2' as EntryId, zone}), expected: {state: 'running', attempt: 2},
	},
];

describe('job transitions', () => {
	for (const {name, record, expected} of cases) {
		it(name, () => {
			expect(describeJob(record)).to.deep.include(expected);
		});
	}
});
