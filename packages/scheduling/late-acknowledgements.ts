/**
Keeps starts from a worker whose ends a late acknowledgement may discard.

A call without an answer may be carried out seconds later, also by a later incarnation with the same identifier, whose ends bear the same numbers. The agent that sent the call bars starts until then by itself; its next process does not know of the call. A worker that does not come back under its identifier, or whose acknowledgements were answered, is not concerned.
*/
import {assertNever, type MonotonicTime} from '#core';
import {isSameIncarnation, lateCallMilliseconds} from '#jobs';
import type {
	AgentName, AgentReport, LateAcknowledgement, SchedulerEffect, SchedulerState, SchedulerWorker,
} from './types.js';

/** Records the acknowledgements for an incarnation that its agent has not reported as answered, when that incarnation or that process of the agent is replaced or lost. */
export function recordLateAcknowledgements(state: SchedulerState, {agent, snapshot, process, notedEnd, grantedAt}: SchedulerWorker, monotonic: MonotonicTime): SchedulerState {
	const {answeredEnd = 0, isPending = false, remainingMilliseconds = 0} = snapshot.acknowledgements ?? {};
	const mayFollow = isPending || notedEnd > answeredEnd;
	const until = grantedAt + remainingMilliseconds;
	return mayFollow || until > monotonic
		? setAcknowledgements(state, agent, [...state.lateAcknowledgements.get(agent) ?? [], {
			worker: snapshot.worker, incarnation: snapshot.incarnation, process, expiry: mayFollow ? {kind: 'with-process'} : {kind: 'at', at: until},
		}])
		: state;
}

/** The process that sends acknowledgements for an earlier incarnation has ended before the one that reports has begun, or is the same and sends none any more. */
export function limitLateAcknowledgements(state: SchedulerState, agent: AgentName, {process, snapshot}: AgentReport, monotonic: MonotonicTime): SchedulerState {
	const known = state.lateAcknowledgements.get(agent);
	if (known?.some(({expiry}) => expiry.kind === 'with-process') !== true) {
		return state;
	}

	const begunAt = monotonic - (snapshot.unansweredStarts?.knownForMilliseconds ?? 0);
	return setAcknowledgements(state, agent, known.map(late => {
		switch (late.expiry.kind) {
			case 'with-process': {
				return {...late, expiry: {kind: 'at', at: (late.process === process ? monotonic : begunAt) + lateCallMilliseconds}};
			}

			case 'at': {
				return late;
			}

			default: {
				return assertNever(late.expiry);
			}
		}
	}));
}

/** Until when a worker gets no starts, since a late acknowledgement of an earlier process of its agent may discard ends that it lists; undefined if there is none. */
export function findAcknowledgementEnd(state: SchedulerState, {agent, process, snapshot}: SchedulerWorker, monotonic: MonotonicTime): MonotonicTime | undefined {
	const ends = (state.lateAcknowledgements.get(agent) ?? [])
		.filter(late => late.worker === snapshot.worker && !isSameIncarnation(late, snapshot) && late.process !== process)
		.map(({expiry}) => expiry.kind === 'at' ? expiry.at : Infinity)
		.filter(at => at > monotonic);
	return ends.length === 0 ? undefined : Math.max(...ends);
}

/** Logs a worker that gets no starts from now on, so that its idleness can be explained. */
export function logBarredWorker(state: SchedulerState, agent: AgentName, monotonic: MonotonicTime): readonly SchedulerEffect[] {
	const worker = state.workers.get(agent);
	const until = worker === undefined ? undefined : findAcknowledgementEnd(state, worker, monotonic);
	return worker === undefined || until === undefined
		? []
		: [{kind: 'log', event: 'starts-barred', fields: {worker: worker.snapshot.worker, incarnation: worker.snapshot.incarnation, remainingMilliseconds: Math.round(until - monotonic)}}];
}

/** Forgets acknowledgements that can no longer be carried out. What remains of an agent that never returns is one entry. */
export function expireLateAcknowledgements(state: SchedulerState, monotonic: MonotonicTime): SchedulerState {
	let next = state;
	for (const [agent, known] of state.lateAcknowledgements) {
		const remaining = known.filter(({expiry}) => expiry.kind === 'with-process' || expiry.at > monotonic);
		next = remaining.length === known.length ? next : setAcknowledgements(next, agent, remaining);
	}

	return next;
}

function setAcknowledgements(state: SchedulerState, agent: AgentName, known: readonly LateAcknowledgement[]): SchedulerState {
	const {lateAcknowledgements} = state;
	return {...state, lateAcknowledgements: known.length === 0 ? lateAcknowledgements.delete(agent) : lateAcknowledgements.set(agent, known)};
}
