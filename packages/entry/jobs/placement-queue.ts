import {
	assertNever, type JobId, type PlanName, type Step,
} from '#core';
import {
	placeGang, type GangRequest, type Placement, type ZoneView,
} from '#placement';
import {listMembers} from '#recovery';
import {placementBatchDelayMilliseconds} from './constants.js';
import type {DriverState} from './driver-types.js';

/** What the operators' lists say about a plan that matters to placement. */
export type PlanLimits = Readonly<{isUrgent: boolean; maximumAccelerators: number}>;

export type PlacementQueueState = Readonly<{waiting: readonly GangRequest[]}>;
export type PlacementQueueMessage = Readonly<{kind: 'ask'; request: GangRequest}> | Readonly<{kind: 'due'}>;
export type PlacementQueueEffect =
	| Readonly<{kind: 'schedule'; delay: number}>
	| Readonly<{kind: 'place'; requests: readonly GangRequest[]}>;

export const initialPlacementQueueState: PlacementQueueState = {waiting: []};

/** Collects requests for placement for a moment, so that they are placed in order of urgency and age. */
export function receivePlacementQueueMessage(state: PlacementQueueState, message: PlacementQueueMessage): Step<PlacementQueueState, PlacementQueueEffect> {
	switch (message.kind) {
		case 'ask': {
			const waiting = [...state.waiting.filter(({job}) => job !== message.request.job), message.request];
			return {state: {waiting}, effects: state.waiting.length === 0 ? [{kind: 'schedule', delay: placementBatchDelayMilliseconds}] : []};
		}

		case 'due': {
			return {state: initialPlacementQueueState, effects: [{kind: 'place', requests: state.waiting}]};
		}

		default: {
			return assertNever(message);
		}
	}
}

export type PlacedRequest = Readonly<{job: JobId; placement: Placement | Readonly<{kind: 'waiting'; reason: 'quota-exceeded'}>}>;

/** Places requests one after the other, urgent plans first and older jobs before younger ones; each sees those before it. */
export function placeInOrder(view: ZoneView, requests: readonly GangRequest[], limits: ReadonlyMap<PlanName, PlanLimits>): readonly PlacedRequest[] {
	const isUrgent = ({plan}: GangRequest) => limits.get(plan)?.isUrgent === true;
	const ordered = requests.toSorted((one, other) => Number(isUrgent(other)) - Number(isUrgent(one)) || one.submittedAt - other.submittedAt || (one.job < other.job ? -1 : 1));
	const placed: PlacedRequest[] = [];
	let present = view;
	for (const request of ordered) {
		const others = removeJobs(present, new Set([request.job]));
		const wanted = request.shape.members * request.shape.acceleratorsPerMember;
		if (countAccelerators(others, request) + wanted > (limits.get(request.plan)?.maximumAccelerators ?? 0)) {
			placed.push({job: request.job, placement: {kind: 'waiting', reason: 'quota-exceeded'}});
			continue;
		}

		const placement = placeGang(others, request);
		placed.push({job: request.job, placement});
		if (placement.kind === 'placed') {
			present = addMembers(removeJobs(others, new Set(placement.evictions)), request, placement.members);
		}
	}

	return placed;
}

function removeJobs(view: ZoneView, jobs: ReadonlySet<JobId>): ZoneView {
	return {
		...view, workers: view.workers.map(worker => worker.holdings.some(({job}) => jobs.has(job))
			? {...worker, holdings: worker.holdings.filter(({job}) => !jobs.has(job))}
			: worker),
	};
}

/** A plan's preemptible work does not count against its non-preemptible gangs, or borrowing would keep the plan from its own guarantee. */
function countAccelerators(view: ZoneView, {plan, preemptible}: GangRequest): number {
	return view.workers
		.flatMap(({holdings}) => holdings)
		.filter(holding => holding.plan === plan && (preemptible || !holding.preemptible))
		.reduce((sum, {accelerators}) => sum + accelerators.length, 0);
}

type PlacedMembers = ReadonlyArray<Readonly<{worker: string; accelerators: readonly number[]}>>;

function addMembers(view: ZoneView, {job, plan, preemptible, submittedAt}: Omit<GangRequest, 'shape'>, members: PlacedMembers): ZoneView {
	return {
		...view, workers: view.workers.map(worker => {
			const accelerators = members.filter(member => member.worker === worker.worker).flatMap(member => member.accelerators);
			const holding = {
				job, plan, preemptible, submittedAt, accelerators,
			};
			return accelerators.length === 0 ? worker : {...worker, holdings: [...worker.holdings, holding]};
		}),
	};
}

/** Corrects the agents' reports, which lag, by what this entry's own drivers know. */
export function applyDriverStates(view: ZoneView, drivers: readonly DriverState[]): ZoneView {
	let next = removeJobs(view, new Set(drivers.map(({record}) => record.work.jobId)));
	for (const {record, phase} of drivers) {
		const {jobId: job, plan, preemptible} = record.work;
		const {submittedAt} = record;
		const members = phase.kind === 'done' ? [] : listMembers(record).map(({place, accelerators}) => ({worker: place.worker, accelerators}));
		next = addMembers(next, {
			job, plan, preemptible, submittedAt,
		}, members);
	}

	return next;
}
