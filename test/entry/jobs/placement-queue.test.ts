import {expect} from 'chai';
import type {
	EntryId, Incarnation, PlanName, RackName, WorkerId, ZoneName,
} from '#core';
import type {GangRequest, ZoneView} from '#placement';
import {beginPlacing, createJobRecord} from '#recovery';
import {createDriverState} from '../../../packages/entry/jobs/driver-state.js';
import {applyDriverStates, placeInOrder, type PlanLimits} from '../../../packages/entry/jobs/placement-queue.js';
import {
	createWork, gangOf, jobIdOf, planOf,
} from '#test/support/gangs/work';

const worker = 'worker-1' as WorkerId;
const view: ZoneView = {
	workers: [{
		worker, rack: 'rack-1' as RackName, accelerators: 8, cells: [], holdings: [],
	}], isComplete: true,
};
const limits = new Map<PlanName, PlanLimits>([
	[planOf('rosters'), {isUrgent: false, maximumAccelerators: 8}],
	[planOf('urgent'), {isUrgent: true, maximumAccelerators: 8}],
	[planOf('small'), {isUrgent: false, maximumAccelerators: 4}],
]);

function request(number: number, plan: string, submittedAt: number): GangRequest {
	return {
		job: jobIdOf(number), plan: planOf(plan), shape: gangOf(2), preemptible: false, submittedAt,
	};
}

const placing = {
	...createDriverState(beginPlacing(
		createJobRecord(createWork(9), {owner: 'entry-1' as EntryId, zone: 'north-a' as ZoneName}, 5),
		[{member: 0, accelerators: [0, 1, 2, 3], place: {worker, incarnation: 'first' as Incarnation}}],
	), 1), phase: {kind: 'placing'} as const,
};

type Case = Readonly<{name: string; view: ZoneView; requests: readonly GangRequest[]; expected: ReadonlyArray<readonly [number, string]>}>;

const cases: readonly Case[] = [
	{
		name: 'an older job is placed before a younger one whose request arrived first',
		view, requests: [request(1, 'rosters', 20), request(2, 'rosters', 10)], expected: [[2, 'placed'], [1, 'quota-exceeded']],
	},
	{
		name: 'an urgent plan is placed before older work of other plans',
		view, requests: [request(1, 'rosters', 10), request(2, 'urgent', 20)], expected: [[2, 'placed'], [1, 'accelerators-busy']],
	},
	{
		name: 'a plan gets no more accelerators than its maximum',
		view, requests: [request(1, 'small', 10)], expected: [[1, 'quota-exceeded']],
	},
	{
		name: 'preemptible work of a plan does not block the guarantee of that plan',
		view: {
			...view, workers: view.workers.map(known => ({
				...known, cells: [{plan: planOf('small'), accelerators: [0, 1, 2, 3]}], holdings: [{
					job: jobIdOf(9), plan: planOf('small'), accelerators: [4, 5, 6, 7], preemptible: true, submittedAt: 5,
				}],
			})),
		},
		requests: [{...request(1, 'small', 10), shape: {...gangOf(2), members: 1, acceleratorsPerMember: 4}}, {...request(2, 'small', 20), preemptible: true}],
		expected: [[1, 'placed'], [2, 'quota-exceeded']],
	},
	{
		name: 'accelerators that another job is about to reserve are not assigned again before the agents report them',
		view: applyDriverStates(view, [placing]), requests: [request(1, 'urgent', 10)], expected: [[1, 'accelerators-busy']],
	},
	{
		name: 'accelerators of an ended job are free before the agents report it',
		view: applyDriverStates({
			...view, workers: view.workers.map(known => ({
				...known, holdings: [{
					job: jobIdOf(9), plan: planOf('rosters'), accelerators: [0, 1, 2, 3], preemptible: false, submittedAt: 5,
				}],
			})),
		}, [{...placing, phase: {kind: 'done', isOwner: true}}]),
		requests: [request(1, 'urgent', 10)], expected: [[1, 'placed']],
	},
];

describe('placement queue', () => {
	for (const {name, view: zoneView, requests, expected} of cases) {
		it(name, () => {
			const placed = placeInOrder(zoneView, requests, limits).map(({job, placement}) => [job, placement.kind === 'waiting' ? placement.reason : placement.kind]);
			expect(placed).to.deep.equal(expected.map(([number, outcome]) => [jobIdOf(number), outcome]));
		});
	}
});
