import type {MonotonicTime} from '#core';
import {lateCallMilliseconds, type Acknowledgements, type WorkerSnapshot} from '#jobs';
import {leaseExpiryMarginMilliseconds, lostRunRetentionMilliseconds, maximumClockDriftRatio} from './constants.js';
import type {SupervisedWorker, SupervisionState} from './types.js';
import {describeUnansweredStarts, listCrashingStarts, mayBeCarriedOut} from './unanswered-starts.js';

/** Takes a snapshot of the worker for the scheduler; undefined until the worker has confirmed the scheduler's epoch and the stops of starts that were meant for its earlier incarnations. */
export function describeWorker(state: SupervisionState, monotonic: MonotonicTime): WorkerSnapshot | undefined {
	const {worker, epoch} = state;
	if (worker === undefined || worker.fencedEpoch < epoch || worker.startsToRevoke.some(start => mayBeCarriedOut(start, monotonic))) {
		return undefined;
	}

	const {announcement, isLeaving, leavesAt, coldUntil, running, ended, leaseUntil, startsBarredUntil} = worker;
	// A worker that may have left gets no starts. Its runs are not stopped, since the departure may be an earlier incarnation's.
	const isResponsive = worker.isResponsive && !isLeaving && monotonic >= startsBarredUntil;
	const isOver = !worker.isResponsive && !isLeaving && isLeaseOver(leaseUntil, monotonic);
	return {
		worker: announcement.worker,
		incarnation: announcement.incarnation,
		service: announcement.service,
		zone: announcement.zone,
		labels: announcement.labels,
		rack: announcement.rack,
		capacity: announcement.capacity,
		state: announcement.state,
		...(leavesAt === undefined ? {} : {leavesInMilliseconds: Math.max(0, Math.round(leavesAt - monotonic))}),
		...(coldUntil === undefined || coldUntil <= monotonic ? {} : {coldForMilliseconds: Math.round(coldUntil - monotonic)}),
		isResponsive,
		isLeaseOver: isOver,
		running,
		ended: ended.ends,
		...(ended.kind === 'cut' ? {areEndsCut: true} : {}),
		lost: [...listRecentlyLost(state, monotonic), ...(isOver ? listCrashingStarts(state, worker, monotonic) : [])].map(({task, run}) => ({task, run})),
		unansweredStarts: describeUnansweredStarts(state, announcement.worker, monotonic),
		...describeAcknowledgements(worker, monotonic),
	};
}

/** Describes the acknowledgements, for a later process of this agent. */
function describeAcknowledgements({notedEnd, acknowledgedEnd, unansweredAcknowledgements}: SupervisedWorker, monotonic: MonotonicTime): Readonly<{acknowledgements?: Acknowledgements}> {
	const remaining = Math.max(0, ...unansweredAcknowledgements.map(sentAt => sentAt + lateCallMilliseconds - monotonic));
	return notedEnd === 0
		? {}
		: {acknowledgements: {answeredEnd: acknowledgedEnd, ...(notedEnd > acknowledgedEnd ? {isPending: true} : {}), ...(remaining > 0 ? {remainingMilliseconds: remaining} : {})}};
}

export function listRecentlyLost({lostRuns}: SupervisionState, monotonic: MonotonicTime): SupervisionState['lostRuns'] {
	return lostRuns.filter(({at}) => monotonic - at < lostRunRetentionMilliseconds);
}

export function isLeaseOver(leaseUntil: MonotonicTime, monotonic: MonotonicTime): boolean {
	return monotonic > leaseUntil + leaseExpiryMarginMilliseconds + (Math.max(0, monotonic - leaseUntil) * maximumClockDriftRatio);
}
