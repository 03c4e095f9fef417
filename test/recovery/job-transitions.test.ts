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
		name: 'a job that may run twice is placed again after its gang was lost',
		record: resolveGangLoss(run(true), loss, 30), expected: {state: 'queued'},
	},
	{
		name: 'a job that may not run twice is not placed again once a member may have started',
		record: resolveGangLoss(run(false), loss, 30), expected: {state: 'failed', outcome: 'stopped', reason: 'lease-lapsed'},
	},
	{
		name: 'a job that may not run twice is unknown if an agent cannot say how far it got',
		record: resolveGangLoss(run(false), {...loss, isUncertain: true}, 30), expected: {state: 'unknown', outcome: 'unknown'},
	},
	{
		name: 'a job of which every agent promised that nothing started is placed again',
		record: resolveGangLoss(run(false), {...loss, neverStarted: true}, 30), expected: {state: 'queued'},
	},
	{
		name: 'a job with a checkpoint of every member is placed again',
		record: resolveGangLoss(run(false), {...loss, checkpoints: {0: 'half', 1: 'half'}}, 30), expected: {state: 'queued'},
	},
	{
		name: 'a job with a checkpoint of only some members is not placed again',
		record: resolveGangLoss(run(false), {...loss, checkpoints: {0: 'half'}}, 30), expected: {state: 'failed'},
	},
	{
		name: 'a job that was cancelled before it started has not run',
		record: cancelJob(requeueJob(place(false)), 30), expected: {state: 'cancelled', outcome: 'not-run'},
	},
	{
		name: 'a job that was cancelled after an earlier attempt had started is not called not run',
		record: cancelJob(resolveGangLoss(run(true), loss, 30), 40), expected: {state: 'cancelled', outcome: 'stopped'},
	},
	{
		name: 'a job that has ended does not change any more',
		record: beginPlacing(cancelJob(create(true), 30), members), expected: {state: 'cancelled', outcome: 'not-run'},
	},
	{
		name: 'an adoption raises the attempt, so that the former owner is refused by the agents',
		record: adoptJob(run(false), {owner: 'entry-2' as EntryId, zone}), expected: {state: 'running', attempt: 2},
	},
];

describe('transitions of a job', () => {
	for (const {name, record, expected} of cases) {
		it(name, () => {
			expect(describeJob(record)).to.deep.include(expected);
		});
	}
});
