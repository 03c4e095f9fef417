import {expect} from 'chai';
import type {Incarnation} from '#core';
import {createExecutionSettings, createExecutionState, receiveExecutionMessage} from '#execution';
import {
	startTime, createDriver, createIdentifier, createWork, incarnation, type Driver,
} from './driver';
import {createNaiveAgent} from './naive';

const slots = 8;
const settings = createExecutionSettings(incarnation, slots);

/** The answers to one message, without measured times. */
function summarize(driver: Driver, replyId: number): readonly string[] {
	return driver.answersOf(replyId).map(({answer}) => answer.kind === 'refused' || answer.kind === 'interrupted' ? `${answer.kind} ${answer.reason}` : answer.kind);
}

function answeredWithin(driver: Driver, replyId: number, limit: number): boolean {
	const [answered] = driver.answersOf(replyId);
	return answered?.answer.kind === 'ran' && answered.at <= limit;
}

type Case = Readonly<{
	name: string;
	perform: (driver: Driver) => unknown;
	expected: unknown;
	/** Result of the naive agent; it must differ from the expected one. */
	naive: unknown;
}>;

const cases: readonly Case[] = [
	{
		name: 'short work waits behind long work that arrived earlier',
		perform(driver) {
			for (let serial = 0; serial < 20; serial++) {
				driver.run(createWork(serial, 10_000, {kind: 'dome'}), {serviceClass: 'long', estimatedMilliseconds: 10_000});
			}

			const short = driver.run(createWork(99, 50));
			driver.clock.advance(60_000);
			return answeredWithin(driver, short, 50);
		},
		expected: true,
		naive: false,
	},
	{
		name: 'stragglers that were declared short take the slots that are reserved for short work',
		perform(driver) {
			for (let serial = 0; serial < 6; serial++) {
				driver.run(createWork(serial, 60_000));
			}

			driver.clock.advance(2000);
			for (let serial = 10; serial < 20; serial++) {
				driver.run(createWork(serial, 10_000, {kind: 'dome'}), {serviceClass: 'long', estimatedMilliseconds: 10_000});
			}

			const short = driver.run(createWork(99, 50));
			driver.clock.advance(60_000);
			return answeredWithin(driver, short, 2050);
		},
		expected: true,
		naive: false,
	},
	{
		name: 'a kind that was observed to be long stays classified as short because its callers declare it so',
		perform(driver) {
			for (let serial = 0; serial < 3; serial++) {
				driver.run(createWork(serial, 5000, {kind: 'dome'}));
			}

			driver.clock.advance(5000);
			for (let serial = 10; serial < 30; serial++) {
				driver.run(createWork(serial, 5000, {kind: 'dome'}));
			}

			const short = driver.run(createWork(99, 50));
			driver.clock.advance(60_000);
			return answeredWithin(driver, short, 5050);
		},
		expected: true,
		naive: false,
	},
	{
		name: 'a plan that floods the queue starves the others',
		perform(driver) {
			for (let serial = 0; serial < 300; serial++) {
				driver.run(createWork(serial, 100, {plan: 'flood'}), {estimatedMilliseconds: 100});
			}

			const other = driver.run(createWork(999, 50));
			driver.clock.advance(60_000);
			return answeredWithin(driver, other, 200);
		},
		expected: true,
		naive: false,
	},
	{
		name: 'a run message that arrives after the withdrawal starts the request',
		perform(driver) {
			const withdrawal = driver.send({kind: 'withdraw', requestId: createWork(1, 50).requestId, incarnation});
			const late = driver.run(createWork(1, 50));
			driver.clock.advance(1000);
			return [summarize(driver, withdrawal), summarize(driver, late), driver.starts.length];
		},
		expected: [['withdrawn'], ['refused withdrawn'], 0],
		naive: [['withdrawn'], ['ran'], 1],
	},
	{
		name: 'a duplicate message starts its request again',
		perform(driver) {
			const replies = [driver.run(createWork(1, 50)), driver.run(createWork(1, 50))];
			driver.clock.advance(1000);
			replies.push(driver.run(createWork(1, 50)));
			driver.clock.advance(1000);
			return [...replies.map(replyId => summarize(driver, replyId)), driver.starts.length];
		},
		expected: [['ran'], ['ran'], ['ran'], 1],
		naive: [[], ['ran'], ['ran'], 3],
	},
	{
		name: 'a restarted agent with an empty ledger runs a request that the earlier incarnation may have run',
		perform(driver) {
			const reply = driver.run(createWork(1, 50), {incarnation: 'earlier-run' as Incarnation});
			driver.clock.advance(1000);
			return [summarize(driver, reply), driver.starts.length];
		},
		expected: [['refused stale-incarnation'], 0],
		naive: [['ran'], 1],
	},
	{
		name: 'another payload under a known identifier gets the answer to the first payload',
		perform(driver) {
			driver.run(createWork(1, 50));
			const reply = driver.run(createWork(1, 51));
			driver.clock.advance(1000);
			return summarize(driver, reply);
		},
		expected: ['refused identifier-reused'],
		naive: ['ran'],
	},
	{
		name: 'a queued request starts although it can no longer meet its deadline',
		perform(driver) {
			for (let serial = 0; serial < slots; serial++) {
				driver.run(createWork(serial, 900));
			}

			const late = driver.run(createWork(99, 50, {latestUsefulAt: startTime + 500}));
			driver.clock.advance(2000);
			return [summarize(driver, late), driver.starts.length];
		},
		expected: [['refused deadline-unreachable'], slots],
		naive: [['ran'], slots + 1],
	},
	{
		name: 'a request that cannot meet its deadline is queued instead of refused at once',
		perform(driver) {
			for (let serial = 0; serial < slots; serial++) {
				driver.run(createWork(serial, 900), {estimatedMilliseconds: 900});
			}

			const unreachable = driver.run(createWork(99, 50, {latestUsefulAt: startTime + 500}));
			return summarize(driver, unreachable);
		},
		expected: ['refused deadline-unreachable'],
		naive: [],
	},
	{
		name: 'a drain interrupts a running request or keeps a queued one',
		perform(driver) {
			const replies = Array.from({length: slots + 1}, (_, serial) => driver.run(createWork(serial, 50)));
			driver.send({kind: 'drain'});
			replies.push(driver.run(createWork(50, 50)));
			const waiting = replies.slice(slots).map(replyId => summarize(driver, replyId));
			driver.clock.advance(1000);
			const isLast = driver.effects.at(-1)?.kind === 'report-drained';
			return [waiting, replies.slice(0, slots).every(replyId => answeredWithin(driver, replyId, 50)), isLast];
		},
		expected: [[['refused draining'], ['refused draining']], true, true],
		naive: [[[], []], false, false],
	},
	{
		name: 'a non-idempotent request runs although its identifier is older than the retention or too far in the future',
		perform(driver) {
			const old = driver.run(createWork(1, 50, {requestId: createIdentifier(startTime - settings.retentionMilliseconds - 1, 1)}));
			const ahead = driver.run(createWork(2, 50, {requestId: createIdentifier(startTime + settings.toleranceMilliseconds + 1, 2)}));
			const idempotent = driver.run(createWork(3, 50, {requestId: createIdentifier(startTime - settings.retentionMilliseconds - 1, 3), idempotent: true}));
			driver.clock.advance(1000);
			return [old, ahead, idempotent].map(replyId => summarize(driver, replyId));
		},
		expected: [['refused identifier-expired'], ['refused identifier-in-future'], ['ran']],
		naive: [['ran'], ['ran'], ['ran']],
	},
	{
		name: 'a retained answer is dropped before its identifier expires',
		perform(driver) {
			driver.run(createWork(1, 50));
			driver.clock.advance(settings.retentionMilliseconds);
			const replay = driver.run(createWork(1, 50));
			driver.clock.advance(settings.toleranceMilliseconds + 1000);
			const expired = driver.run(createWork(1, 50));
			return [summarize(driver, replay), summarize(driver, expired), driver.starts.length];
		},
		expected: [['ran'], ['refused identifier-expired'], 1],
		naive: [['ran'], [], 3],
	},
	{
		name: 'a lost task is reported as not started, or a task that never started as interrupted',
		perform(driver) {
			const lost = driver.run(createWork(1, 60_000));
			const neverStarted = driver.run(createWork(2, 60_000));
			driver.send({kind: 'task-lost', requestId: createWork(1, 0).requestId, reason: 'worker-failed'});
			driver.send({kind: 'task-not-started', requestId: createWork(2, 0).requestId, reason: 'worker-failed'});
			return [summarize(driver, lost), summarize(driver, neverStarted)];
		},
		expected: [['interrupted worker-failed'], ['refused worker-failed']],
		naive: [[], []],
	},
];

describe('execution: failures of a naive agent', () => {
	for (const {
		name, perform, expected, naive,
	} of cases) {
		it(name, () => {
			expect(perform(createDriver({initialState: createExecutionState(settings), receive: receiveExecutionMessage}))).to.deep.equal(expected);
			expect(perform(createDriver(createNaiveAgent(slots, settings.queue.maximumQueued)))).to.deep.equal(naive);
			expect(naive).to.not.deep.equal(expected);
		});
	}
});
