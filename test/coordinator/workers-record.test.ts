/** The record of workers lists each worker that may have runs, whatever becomes of the writes that remove others or itself. */
import {expect} from 'chai';
import type {WorkerId} from '#core';
import {createWorkersRecord, storePort} from '#coordinator';
import {
	createCounters, createServices, createVirtualClock, silentLog,
} from '#kernel';
import type {UsedWorker} from '#scheduling';
import {createReadyDriver, snapshotOf, submissionOf} from '#test/support/scheduling';
import {createUnreliableStore, type WriteFate} from '#test/support/unreliable-store';
import {elapse} from '#test/support/virtual-time';

const workersKey = 'workers';
const leaderKey = 'cluster/leader';
const returning: UsedWorker = {agent: 'a', worker: 'w-a' as WorkerId};

/** Longer than a grant, so that the scheduler removes an agent that stays away. */
const lostMilliseconds = 9000;

const prompt: WriteFate = {kind: 'answered', appliedAfter: 1, answeredAfter: 1};

type Case = Readonly<{
	name: string;
	/** What becomes of the writes after worker `a` was lost; later ones are answered at once. */
	fates: readonly WriteFate[];
	/** How long after its removal the worker returns. */
	returnsAfter: number;
}>;

const cases: readonly Case[] = [
	{
		name: 'the write that removes it is carried out and answered slowly', fates: [{kind: 'answered', appliedAfter: 120, answeredAfter: 120}], returnsAfter: 50,
	},
	{
		name: 'the write that removes it is carried out, and its answer is slow', fates: [{kind: 'answered', appliedAfter: 1, answeredAfter: 700}], returnsAfter: 300,
	},
	{
		name: 'the write that removes it is carried out without an answer', fates: [{kind: 'unanswered', appliedAfter: 1}], returnsAfter: 1000,
	},
	{
		name: 'the write that removes it is carried out without an answer while the worker returns', fates: [{kind: 'unanswered', appliedAfter: 600}], returnsAfter: 300,
	},
	{
		name: 'the write that removes it is carried out after its call has failed', fates: [{kind: 'unanswered', appliedAfter: 3000}, {kind: 'refused'}, {kind: 'refused'}, {kind: 'never-applied'}], returnsAfter: 950,
	},
	{
		name: 'the write after a lost one finds that it was carried out', fates: [{kind: 'unanswered', appliedAfter: 1}, prompt, {kind: 'answered', appliedAfter: 1, answeredAfter: 500}], returnsAfter: 1100,
	},
	{
		name: 'several writes that remove it are carried out without an answer', fates: [{kind: 'unanswered', appliedAfter: 2500}, {kind: 'unanswered', appliedAfter: 1}, {kind: 'unanswered', appliedAfter: 1}], returnsAfter: 2200,
	},
];

/** Records two workers, removes the first one while writes fare as given, and calls `ensureStored` for it once it is back. */
async function playReturn({fates, returnsAfter}: Case) {
	const clock = createVirtualClock();
	const remaining = [...fates];
	let isLost = false;
	let hasReturned = false;
	const unreliable = createUnreliableStore(clock, () => isLost ? remaining.shift() ?? prompt : prompt);
	unreliable.put(leaderKey, {entry: 'entry-a'});
	const services = createServices();
	services.provide(storePort, unreliable.store);
	const driver = createReadyDriver([['a'], ['b']]);
	const context = {
		services, clock, counters: createCounters(), log: silentLog,
	};
	const workersRecord = createWorkersRecord({leaderVersion: 1, isOver: () => false, task: {read: driver.state}} as never, context as never);
	const renew = () => {
		for (const agent of hasReturned || !isLost ? ['a', 'b'] : ['b']) {
			driver.send({kind: 'renewed', agent, snapshot: snapshotOf(agent)});
		}
	};

	const elapseBoth = async (duration: number) => {
		for (let left = duration; left > 0; left -= 50) {
			driver.elapse(50);
			renew();
			if (driver.time() % 250 === 0) {
				workersRecord.prune();
			}

			await elapse(clock, 50, 5);
		}
	};

	const stored = workersRecord.ensureStored(returning);
	await elapse(clock, 50, 5);
	expect(await stored).to.equal(true);
	isLost = true;
	driver.send({kind: 'detached', agent: 'a'});
	for (let elapsed = 0; elapsed < lostMilliseconds; elapsed += 1000) {
		driver.elapse(1000);
		renew();
	}

	expect(driver.state().workers.has('a')).to.equal(false);
	workersRecord.prune();
	await elapseBoth(returnsAfter);
	hasReturned = true;
	renew();
	driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
	let confirmed: boolean | undefined;
	void (async () => {
		confirmed = await workersRecord.ensureStored(returning);
	})();

	return {
		unreliable, elapseBoth, isConfirmed: () => confirmed,
	};
}

describe('record of workers', () => {
	for (const testCase of cases) {
		it(`a worker that returns after its removal is listed from its first start on if ${testCase.name} (unknown to the next scheduler, second run of its task)`, async () => {
			const {unreliable, elapseBoth, isConfirmed} = await playReturn(testCase);
			for (let waited = 0; waited < 10_000; waited += 50) {
				await elapseBoth(50);
				const {workers} = unreliable.read(workersKey) as Readonly<{workers: readonly UsedWorker[]}>;
				if (isConfirmed() === true) {
					expect(workers, `${waited} ms after its return`).to.deep.include(returning);
				}
			}

			expect(isConfirmed(), 'start allowed').to.equal(true);
			expect(unreliable.countWrites()).to.be.at.most(40);
		});
	}

	it('lists the worker of an unanswered start also while its agent has another worker (start carried out after its return, unknown to the next scheduler)', async () => {
		const clock = createVirtualClock();
		const unreliable = createUnreliableStore(clock, () => prompt);
		unreliable.put(leaderKey, {entry: 'entry-a'});
		const services = createServices();
		services.provide(storePort, unreliable.store);
		const driver = createReadyDriver([['a']]);
		const context = {
			services, clock, counters: createCounters(), log: silentLog,
		};
		const workersRecord = createWorkersRecord({leaderVersion: 1, isOver: () => false, task: {read: driver.state}} as never, context as never);
		driver.send({kind: 'submitted', submission: submissionOf(1, [{}])});
		driver.send({
			kind: 'incarnation-ended', agent: 'a', worker: returning.worker, incarnation: '1', ending: 'left', ended: [],
		});
		const next: UsedWorker = {agent: 'a', worker: 'w-next' as WorkerId};
		driver.send({kind: 'renewed', agent: 'a', snapshot: snapshotOf('a', {worker: next.worker})});
		const stored = workersRecord.ensureStored(next);
		await elapse(clock, 50, 5);
		expect(await stored).to.equal(true);
		expect(unreliable.read(workersKey)).to.deep.equal({workers: [next, returning]});
	});
});
