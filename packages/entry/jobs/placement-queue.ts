import {
	assertNever, type JobId, type PlanName, type Step,
} from '#core';
import {
	placeGang, type GangRequest, type Placement, type ZoneView,
} from '#placement';
import {listMembers} from '#recovery';
import {placementBatchDelayMilliseconds} from './constants.js';
import type {DriverState} from './driver-types.js';

/** A plan's limits from the configuration that placement respects. */
export type PlanLimits = Readonly<{isUrgent: boolean; maximumAccelerators: number}>;

export type PlacementQueueState = Readonly<{waiting: readonly GangRequest[]}>;
export type PlacementQueueMessage = Readonly<{kind: 'request'; request: GangRequest}> | Readonly<{kind: 'due'}>;
export type PlacementQueueEffect =
	| Readonly<{kind: 'schedule'; delay: number}>
	| Readonly<{kind: 'place'; requests: readonly GangRequest[]}>;

export const initialPlacementQueueState: PlacementQueueState = {waiting: []};

/** Batches placement requests for a short time, so that they are placed in order of urgency and age. */
export function receivePlacementQueueMessage(state: PlacementQueueState, message: PlacementQueueMessage): Step<PlacementQueueState, PlacementQueueEffect> {
	switch (message.kind) {
		case 'request': {
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

/** Places requests one at a time, urgent plans first, then by age; each placement takes the earlier ones into account. */
export function placeInOrder(view: ZoneView, requests: readonly GangRequest[], limits: ReadonlyMap<PlanName, PlanLimits>): readonly PlacedRequest[] {
	const isUrgent = ({plan}: GangRequest) => limits.get(plan)?.isUrgent === true;
	const ordered = requests.toSorted((a, b) => Number(isUrgent(b)) - Number(isUrgent(a)) || a.submittedAt - b.submittedAt || (a.job < b.job ? -1 : 1));
	const placed: PlacedRequest[] = [];
	let current = view;
	for (const request of ordered) {
		const otherJobs = removeJobs(current, new Set([request.job]));
		const requested = request.shape.members * request.shape.acceleratorsPerMember;
		if (countAccelerators(otherJobs, request) + requested > (limits.get(request.plan)?.maximumAccelerators ?? 0)) {
			placed.push({job: request.job, placement: {kind: 'waiting', reason: 'quota-exceeded'}});
			continue;
		}

		const placement = placeGang(otherJobs, request);
		placed.push({job: request.job, placement});
		if (placement.kind === 'placed') {
			current = addMembers(removeJobs(otherJobs, new Set(placement.evictions)), request, placement.members);
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

/** Counts the accelerators that a plan uses. Preemptible work does not count against non-preemptible gangs, or borrowing would block the plan's own guarantee. */
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

/** Replaces the delayed agent reports about this entry's own jobs by the state of their drivers. */
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
