import type {
	Incarnation, Milliseconds, RequestId, RequestWork,
} from '#core';
import {
	createExecutionSettings, createExecutionState, receiveExecutionMessage, describeLoad, type ExecutionEffect, type ExecutionMessage, type ExecutionState,
	type Load,
} from '#execution';
import type {ServiceEstimate} from '#routing';
import type {EventQueue} from './events.js';
import type {Arrival} from './types.js';

export type RunEnd = Readonly<{kind: 'ran'; startedAt: Milliseconds; isFailed: boolean; serviceMilliseconds: Milliseconds}> | Readonly<{kind: 'refused'}>;

/** A worker of the model, as an entry meets it. */
export type ModelWorker = Readonly<{
	run(arrival: Arrival, work: RequestWork, estimate: ServiceEstimate, onEnd: (end: RunEnd) => void): void;
	load(): Load;
	/** Whether long work waits here. */
	isLongQueued(): boolean;
}>;

export type WorkerOptions = Readonly<{slots: number; isFailing: boolean; failureMilliseconds: Milliseconds; events: EventQueue}>;

type Waiting = Readonly<{arrival: Arrival; onEnd: (end: RunEnd) => void}>;

const tickMilliseconds = 200;

/** One queue for all requests, in order of arrival. */
export function createFifoWorker({slots, isFailing, failureMilliseconds, events}: WorkerOptions): ModelWorker {
	const queue: Waiting[] = [];
	let running = 0;
	let longQueued = 0;
	const start = ({arrival, onEnd}: Waiting) => {
		const startedAt = events.now;
		const serviceMilliseconds = isFailing ? failureMilliseconds : arrival.serviceMilliseconds;
		running++;
		longQueued -= arrival.serviceClass === 'long' ? 1 : 0;
		events.schedule(serviceMilliseconds, () => {
			running--;
			onEnd({
				kind: 'ran', startedAt, isFailed: isFailing, serviceMilliseconds,
			});
			startNext();
		});
	};

	const startNext = () => {
		while (running < slots && queue.length > 0) {
			const next = queue.shift();
			if (next !== undefined) {
				start(next);
			}
		}
	};

	return {
		run(arrival, _work, _estimate, onEnd) {
			queue.push({arrival, onEnd});
			longQueued += arrival.serviceClass === 'long' ? 1 : 0;
			startNext();
		},
		load: () => ({
			shortQueued: queue.length, shortRunning: running, longQueued: 0, longRunning: 0, started: 0, failed: 0,
		}),
		isLongQueued: () => longQueued > 0,
	};
}

/** The agent's real decisions: ledger, queue with fair sharing, reserve for short work, demotion. */
export function createAgentWorker({slots, isFailing, failureMilliseconds, events}: WorkerOptions): ModelWorker {
	const incarnation = 'incarnation-1' as Incarnation;
	let state: ExecutionState = createExecutionState(createExecutionSettings(incarnation, slots));
	const waiting = new Map<number, Waiting>();
	const arrivals = new Map<RequestId, Arrival>();
	const send = (message: ExecutionMessage) => {
		const step = receiveExecutionMessage(state, message, {now: events.now, monotonic: events.now});
		state = step.state;
		for (const effect of step.effects) {
			perform(effect);
		}
	};

	const perform = (effect: ExecutionEffect) => {
		if (effect.kind === 'start-task') {
			const {requestId} = effect.work;
			const serviceMilliseconds = isFailing ? failureMilliseconds : arrivals.get(requestId)?.serviceMilliseconds ?? 0;
			events.schedule(serviceMilliseconds, () => {
				send({kind: 'task-ended', requestId, result: {status: isFailing ? 'failed' : 'succeeded', body: undefined}});
			});
		} else if (effect.kind === 'answer-run') {
			const call = waiting.get(effect.replyId);
			waiting.delete(effect.replyId);
			if (effect.answer.kind === 'ran') {
				const {serviceMilliseconds, status} = effect.answer.result;
				call?.onEnd({
					kind: 'ran', startedAt: events.now - serviceMilliseconds, isFailed: status === 'failed', serviceMilliseconds,
				});
			} else {
				call?.onEnd({kind: 'refused'});
			}
		}
	};

	const tick = () => {
		send({kind: 'tick'});
		events.schedule(tickMilliseconds, tick);
	};

	tick();
	return {
		run(arrival, work, {serviceClass, estimatedMilliseconds}, onEnd) {
			waiting.set(arrival.number, {arrival, onEnd});
			arrivals.set(work.requestId, arrival);
			send({
				kind: 'run', work, serviceClass, estimatedMilliseconds, incarnation, replyId: arrival.number,
			});
		},
		load: () => describeLoad(state),
		isLongQueued: () => describeLoad(state).longQueued > 0,
	};
}
