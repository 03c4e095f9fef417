import {expect} from 'chai';
import type {JobId, PlanName} from '#core';
import {decideConflicts} from '../../packages/reservations/conflicts.js';
import {createReservationState, putGang} from '../../packages/reservations/state.js';

type Case = Readonly<{name: string; isHolderPreemptible: boolean; isRequestPreemptible: boolean; expected: 'evicted' | 'accelerators-busy'}>;

const cases: readonly Case[] = [
	{
		name: 'a preemptible gang is evicted for a gang of its own plan, so that it does not block the guaranteed shape',
		isHolderPreemptible: true,
		isRequestPreemptible: false,
		expected: 'evicted',
	},
	{
		name: 'two preemptible gangs of one plan do not evict each other alternately',
		isHolderPreemptible: true,
		isRequestPreemptible: true,
		expected: 'accelerators-busy',
	},
	{
		name: 'a non-preemptible gang is not evicted by its own plan',
		isHolderPreemptible: false,
		isRequestPreemptible: false,
		expected: 'accelerators-busy',
	},
];

describe('reclaiming accelerators from gangs of the same plan', () => {
	for (const {name, isHolderPreemptible, isRequestPreemptible, expected} of cases) {
		it(name, () => {
			const plan = 'a' as PlanName;
			const empty = createReservationState({accelerators: 2, graceMilliseconds: 2000, acceptsFrom: 0});
			const state = putGang({...empty, cells: [{plan, accelerators: [0, 1]}]}, {
				job: 'holder' as JobId,
				attempt: 1,
				taskAttempt: 1,
				plan,
				submittedAt: 0,
				preemptible: isHolderPreemptible,
				members: [{
					member: 0, accelerators: [0], state: {kind: 'running'}, startedAt: 0, notification: {kind: 'none'},
				}],
				phase: {kind: 'started', leaseEndsAt: 10_000},
				pendingReplyIds: [],
			});
			const decision = decideConflicts(state, {
				job: 'request' as JobId, attempt: 1, plan, submittedAt: 1, preemptible: isRequestPreemptible, members: [{member: 0, accelerators: [0, 1]}],
			});
			expect(decision.kind === 'granted' ? decision.evicted.map(() => 'evicted') : [decision.reason]).to.deep.equal([expected]);
		});
	}
});
