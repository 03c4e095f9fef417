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

const createClaimMessage = (replyId: number, requestId: RequestId, from?: Claim): ClaimsMessage => ({
	kind: 'claim', waiting: {
		replyId, requestId, claim: claimOf(`worker-${replyId}`, 'own'), from: from?.place,
	},
});
const lease: ClaimsMessage = {kind: 'lease-granted', lease: 'lease-1'};
const bookOf = (requestId: RequestId, worker: string, owner: string) => new Map([[requestId, claimOf(worker, owner)]]);

type Case = Readonly<{name: string; messages: readonly ClaimsMessage[]; at?: number; expected: readonly string[]}>;

const cases: readonly Case[] = [
	{
		name: 'batches claims for one key into one write, with one write in flight per key',
		messages: [createClaimMessage(1, first), lease, createClaimMessage(2, second), createClaimMessage(3, third), {kind: 'written', key, version: 1}],
		expected: ['lease', 'write 0 of 1', 'held 1 worker-1', 'write 1 of 2'],
	},
	{
		name: 'merges the stored claims after a conflict and returns the claim of another entry',
		messages: [createClaimMessage(1, first), lease, {
			kind: 'conflict', key, version: 7, book: bookOf(first, 'worker-9', 'another'),
		}],
		expected: ['lease', 'write 0 of 1', 'held 1 worker-9'],
	},
	{
		name: 'reads back a write whose reply was lost and finds its claim',
		messages: [createClaimMessage(1, first), lease, {kind: 'write-failed', key, effect: 'perhaps-applied'}, {
			kind: 'read', key, version: 4, book: bookOf(first, 'worker-1', 'own'),
		}],
		expected: ['lease', 'write 0 of 1', 'read', 'held 1 worker-1'],
	},
	{
		name: 'repeats a write that the read does not show, so that a delayed first write conflicts',
		messages: [createClaimMessage(1, first), lease, {kind: 'write-failed', key, effect: 'perhaps-applied'}, {
			kind: 'read', key, version: 4, book: new Map(),
		}],
		expected: ['lease', 'write 0 of 1', 'read', 'write 4 of 1'],
	},
	{
		name: 'refuses a claim as not written while the store is unavailable',
		messages: [createClaimMessage(1, first), lease, {kind: 'write-failed', key, effect: 'not-applied'}],
		expected: ['lease', 'write 0 of 1', 'refused 1 not-written'],
	},
	{
		name: 'reports a claim as uncertain if the store stays unavailable after a lost reply',
		messages: [
			createClaimMessage(1, first), lease, {kind: 'write-failed', key, effect: 'perhaps-applied'}, {kind: 'read-failed', key}, {kind: 'read-failed', key}, {kind: 'read-failed', key},
		],
		expected: ['lease', 'write 0 of 1', 'read', 'read', 'read', 'refused 1 uncertain'],
	},
	{
		name: 'lets only the submission that wrote a claim move it',
		messages: [createClaimMessage(1, first), lease, {kind: 'written', key, version: 1}, createClaimMessage(2, first), createClaimMessage(3, first, claimOf('worker-1', 'own'))],
		expected: ['lease', 'write 0 of 1', 'held 1 worker-1', 'held 2 worker-1', 'write 1 of 1'],
	},
	{
		name: 'replaces a lease before the next write once its reuse time has passed',
		messages: [createClaimMessage(1, first), lease, {kind: 'written', key, version: 1}, createClaimMessage(2, second)],
		at: claimLeaseReuseMilliseconds,
		expected: ['lease', 'write 0 of 1', 'held 1 worker-1', 'lease'],
	},
	{
		name: 'replaces a lease unknown to the store and repeats the write',
		messages: [createClaimMessage(1, first), lease, {kind: 'lease-unknown', key}, lease],
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
			const effects: string[] = [];
			for (const [index, message] of messages.entries()) {
				const step = receiveClaimsMessage(state, message, {monotonic: index === messages.length - 1 ? at : 0});
				state = step.state;
				effects.push(...step.effects.map(describeEffect));
			}

			expect(effects).to.deep.equal(expected);
		});
	}
});
