import {expect} from 'chai';
import type {RequestId} from '#core';
import {
	formatClaimKey, claimLeaseReuseMilliseconds, initialClaimsState, receiveClaimsMessage, type Claim, type ClaimsEffect, type ClaimsMessage, type ClaimsState,
} from '#recovery';

const time = Date.UTC(2026, 0, 1).toString(16).padStart(12, '0');
const identify = (number: number) => `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${number.toString(16).padStart(12, '0')}` as RequestId;
const first = identify(1);
const key = formatClaimKey(first);
const [second, third] = Array.from({length: 500}, (_, number) => identify(number + 2)).filter(requestId => formatClaimKey(requestId) === key) as [RequestId, RequestId];

function claimOf(worker: string, owner: string): Claim {
	const claim: unknown = {place: {worker, incarnation: 'i1'}, zone: 'north-a', owner};
	return claim as Claim;
}

const ask = (replyId: number, requestId: RequestId, from?: Claim): ClaimsMessage => ({
	kind: 'claim', waiting: {
		replyId, requestId, claim: claimOf(`worker-${replyId}`, 'own'), from: from?.place,
	},
});
const lease: ClaimsMessage = {kind: 'lease-granted', lease: 'lease-1'};
const bookOf = (requestId: RequestId, worker: string, owner: string) => new Map([[requestId, claimOf(worker, owner)]]);

type Case = Readonly<{name: string; messages: readonly ClaimsMessage[]; at?: number; expected: readonly string[]}>;

const cases: readonly Case[] = [
	{
		name: 'claims that wait for one key share a write, and one write is in flight per key',
		messages: [ask(1, first), lease, ask(2, second), ask(3, third), {kind: 'written', key, version: 1}],
		expected: ['lease', 'write 0 of 1', 'held 1 worker-1', 'write 1 of 2'],
	},
	{
		name: 'a conflict is merged, and a claim of another entry is followed',
		messages: [ask(1, first), lease, {
			kind: 'conflict', key, version: 7, book: bookOf(first, 'worker-9', 'another'),
		}],
		expected: ['lease', 'write 0 of 1', 'held 1 worker-9'],
	},
	{
		name: 'a write whose answer was lost is read back and found',
		messages: [ask(1, first), lease, {kind: 'write-failed', key, effect: 'perhaps-applied'}, {
			kind: 'read', key, version: 4, book: bookOf(first, 'worker-1', 'own'),
		}],
		expected: ['lease', 'write 0 of 1', 'read', 'held 1 worker-1'],
	},
	{
		name: 'a write that is not found is written again, so that a delayed first one conflicts',
		messages: [ask(1, first), lease, {kind: 'write-failed', key, effect: 'perhaps-applied'}, {
			kind: 'read', key, version: 4, book: new Map(),
		}],
		expected: ['lease', 'write 0 of 1', 'read', 'write 4 of 1'],
	},
	{
		name: 'while the store is down a claim is refused as not written',
		messages: [ask(1, first), lease, {kind: 'write-failed', key, effect: 'not-applied'}],
		expected: ['lease', 'write 0 of 1', 'refused 1 not-written'],
	},
	{
		name: 'a store that stays away after a lost answer leaves the claim uncertain',
		messages: [
			ask(1, first), lease, {kind: 'write-failed', key, effect: 'perhaps-applied'}, {kind: 'read-failed', key}, {kind: 'read-failed', key}, {kind: 'read-failed', key},
		],
		expected: ['lease', 'write 0 of 1', 'read', 'read', 'read', 'refused 1 uncertain'],
	},
	{
		name: 'only the run that wrote a claim moves it',
		messages: [ask(1, first), lease, {kind: 'written', key, version: 1}, ask(2, first), ask(3, first, claimOf('worker-1', 'own'))],
		expected: ['lease', 'write 0 of 1', 'held 1 worker-1', 'held 2 worker-1', 'write 1 of 1'],
	},
	{
		name: 'a lease that has been used for its time is replaced before the next write',
		messages: [ask(1, first), lease, {kind: 'written', key, version: 1}, ask(2, second)],
		at: claimLeaseReuseMilliseconds,
		expected: ['lease', 'write 0 of 1', 'held 1 worker-1', 'lease'],
	},
	{
		name: 'a lease that the store forgot is replaced and the write repeated',
		messages: [ask(1, first), lease, {kind: 'lease-unknown', key}, lease],
		expected: ['lease', 'write 0 of 1', 'lease', 'write 0 of 1'],
	},
];

function describeEffect(effect: ClaimsEffect): string {
	switch (effect.kind) {
		case 'write': {
			return `write ${effect.expectedVersion} of ${effect.added}`;
		}

		case 'read': {
			return 'read';
		}

		case 'grant-lease': {
			return 'lease';
		}

		case 'answer': {
			const {replyId, result} = effect;
			return result.kind === 'held' ? `held ${replyId} ${result.claim.place.worker}` : `refused ${replyId} ${result.effect}`;
		}
	}
}

describe('claims', () => {
	for (const {
		name, messages, at = 0, expected,
	} of cases) {
		it(name, () => {
			let state: ClaimsState = initialClaimsState;
			const done: string[] = [];
			for (const [index, message] of messages.entries()) {
				const step = receiveClaimsMessage(state, message, {monotonic: index === messages.length - 1 ? at : 0});
				state = step.state;
				done.push(...step.effects.map(describeEffect));
			}

			expect(done).to.deep.equal(expected);
		});
	}
});
