/**
Keeps to the capacity of a worker that may still carry out a start which it did not answer.

A stop makes an incarnation refuse the start. Agents have the next one confirm it before they report that one, unless they do not know of the start; then the scheduler orders it, and holds room until it is confirmed.
*/
import type {MonotonicTime} from '#core';
import type {Resources, WorkerSnapshot} from '#jobs';
import {stopRetryMilliseconds} from './constants.js';
import {withoutEffects, type SchedulerTransition} from './runs.js';
import {findJob, findStep, resourcesOf} from './state.js';
import type {
	AgentName, SchedulerMessage, SchedulerState, SchedulerWorker, StartRefusal, StopOrder, UnansweredStart,
} from './types.js';
import {mapStarts} from './unanswered-starts.js';

/** Has the reported incarnation refuse the starts that it may still carry out. A stop that it answered counts from its next report on, which lists the run if that was there. */
export function refuseLateStarts(state: SchedulerState, agent: AgentName, {worker, incarnation}: WorkerSnapshot, monotonic: MonotonicTime): SchedulerTransition {
	if (state.unansweredStarts.size === 0) {
		return withoutEffects(state);
	}

	const orders: StopOrder[] = [];
	const next = mapStarts(state, (start, task) => {
		if (start.agent !== agent || start.worker !== worker || start.until <= monotonic) {
			return start;
		}

		const refusal = advanceRefusal(start.refusal, incarnation, monotonic);
		if (refusal !== start.refusal && refusal.kind === 'ordered') {
			orders.push({task, run: start.run});
		}

		return refusal === start.refusal ? start : {...start, refusal};
	});
	return {
		state: next,
		effects: orders.length === 0
			? []
			: [
				{
					kind: 'stop', agent, incarnation, orders,
				},
				{kind: 'log', event: 'stop-ordered', fields: {reason: 'start for an earlier incarnation may still be carried out', tasks: orders}},
			],
	};
}

function advanceRefusal(refusal: StartRefusal, incarnation: string, monotonic: MonotonicTime): StartRefusal {
	const ordered: StartRefusal = {kind: 'ordered', incarnation, orderedAt: monotonic};
	if (refusal.kind === 'none' || refusal.incarnation !== incarnation) {
		return ordered;
	}

	switch (refusal.kind) {
		case 'ordered': {
			return monotonic - refusal.orderedAt > stopRetryMilliseconds ? ordered : refusal;
		}

		case 'answered': {
			return {kind: 'confirmed', incarnation};
		}

		case 'confirmed': {
			return refusal;
		}
	}
}

/** Notes the stops of unanswered starts that an incarnation answered. */
export function noteAnsweredRefusals(state: SchedulerState, {agent, incarnation, orders}: Extract<SchedulerMessage, {kind: 'stop-answered'}>): SchedulerState {
	return mapStarts(state, (start, task) => {
		const {refusal} = start;
		const isAnswered = start.agent === agent && refusal.kind === 'ordered' && refusal.incarnation === incarnation && orders.some(order => order.task === task && order.run === start.run);
		return isAnswered ? {...start, refusal: {kind: 'answered', incarnation}} : start;
	});
}

/** Lists the resources that late starts may take, by agent. */
export function listLateStarts(state: SchedulerState, monotonic: MonotonicTime): ReadonlyMap<AgentName, readonly Resources[]> {
	const needs = new Map<AgentName, readonly Resources[]>();
	for (const [task, starts] of state.unansweredStarts) {
		const job = findJob(state, task);
		const step = job === undefined ? undefined : findStep(job, task);
		for (const start of starts) {
			const worker = state.workers.get(start.agent);
			if (step !== undefined && worker !== undefined && mayStartLate(start, worker, monotonic)) {
				needs.set(start.agent, [...needs.get(start.agent) ?? [], resourcesOf(step)]);
			}
		}
	}

	return needs;
}

function mayStartLate({worker, until, refusal}: UnansweredStart, {snapshot}: SchedulerWorker, monotonic: MonotonicTime): boolean {
	return snapshot.worker === worker && monotonic < until && !(refusal.kind === 'confirmed' && refusal.incarnation === snapshot.incarnation);
}
