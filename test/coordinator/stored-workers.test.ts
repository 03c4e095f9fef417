/** What the store may list, whichever of the writes under way or without an answer was carried out (worker unknown to the next scheduler). */
import {expect} from 'chai';
import type {WorkerId} from '#core';
import type {UsedWorker} from '#scheduling';
import {
	beginRecordWrite, createStoredWorkers, endRecordWrite, isCertainlyStored, mayListOthers, type RecordWriteResult,
} from '../../packages/coordinator/stored-workers.js';

const workerOf = (agent: string): UsedWorker => ({agent, worker: `w-${agent}` as WorkerId});
const [a, b, c] = [workerOf('a'), workerOf('b'), workerOf('c')];

type Write = Readonly<{workers: readonly UsedWorker[]; result: RecordWriteResult}>;

type Case = Readonly<{
	name: string;
	/** Writes on a record of version 1 that lists `a` and `b`. */
	writes: readonly Write[];
	certain: readonly UsedWorker[];
	/** Whether the store may list a worker beside `b`. */
	mayListOthersThanB: boolean;
}>;

const lostRemoval: Write = {workers: [b], result: {kind: 'perhaps-applied'}};
const sameVersion = (workers: readonly UsedWorker[]): RecordWriteResult => ({
	kind: 'conflict', version: 1, workers, isLeader: false,
});
const nextVersion = (workers: readonly UsedWorker[]): RecordWriteResult => ({
	kind: 'conflict', version: 2, workers, isLeader: true,
});

const cases: readonly Case[] = [
	{
		name: 'a write without an answer leaves certain what it lists as well', writes: [lostRemoval], certain: [b], mayListOthersThanB: true,
	},
	{
		name: 'a conflict with the same version ends no doubt about an earlier write', writes: [lostRemoval, {workers: [a, b], result: sameVersion([a, b])}], certain: [b], mayListOthersThanB: true,
	},
	{
		name: 'a conflict with another version shows what the store lists', writes: [lostRemoval, {workers: [a, b], result: nextVersion([b, c])}], certain: [b, c], mayListOthersThanB: true,
	},
	{
		name: 'a conflict with another version ends the doubt about earlier writes', writes: [lostRemoval, {workers: [a, b], result: nextVersion([b])}], certain: [b], mayListOthersThanB: false,
	},
	{
		name: 'a refused write changes nothing', writes: [{workers: [b], result: {kind: 'not-applied'}}], certain: [a, b], mayListOthersThanB: true,
	},
	{
		name: 'a written record is certain', writes: [lostRemoval, {workers: [b, c], result: {kind: 'written', version: 2}}], certain: [b, c], mayListOthersThanB: true,
	},
];

describe('what the store may list of the workers in use', () => {
	for (const {
		name, writes, certain, mayListOthersThanB,
	} of cases) {
		it(name, () => {
			const stored = writes.reduce((known, {workers, result}) => endRecordWrite(beginRecordWrite(known, workers), result), createStoredWorkers([a, b], 1));
			expect([a, b, c].filter(worker => isCertainlyStored(stored, worker))).to.deep.equal(certain);
			expect(mayListOthers(stored, [b])).to.equal(mayListOthersThanB);
		});
	}
});
