/** A naive agent: one FIFO queue, and records of unfinished requests only. */
import type {RequestId} from '#core';
import type {ExecutionEffect, ExecutionMessage} from '#execution';
import type {StateMachine} from './driver';

type QueuedRun = Readonly<Extract<ExecutionMessage, {kind: 'run'}>>;
type NaiveState = Readonly<{queue: readonly QueuedRun[]; running: ReadonlyMap<RequestId, number>}>;

export function createNaiveAgent(slots: number, maximumQueued: number): StateMachine<NaiveState> {
	const startFirst = (state: NaiveState, effects: readonly ExecutionEffect[]) => {
		const [first, ...queue] = state.queue;
		return first === undefined || state.running.size >= slots
			? {state, effects}
			: {
				state: {queue, running: new Map(state.running).set(first.work.requestId, first.replyId)},
				effects: [...effects, {kind: 'start-task', work: first.work} as const],
			};
	};

	return {
		initialState: {queue: [], running: new Map()},
		receive(state, message) {
			switch (message.kind) {
				case 'run': {
					return state.queue.length >= maximumQueued
						? {state, effects: [{kind: 'answer-run', replyId: message.replyId, answer: {kind: 'refused', reason: 'queue-full'}}]}
						: startFirst({...state, queue: [...state.queue, message]}, []);
				}

				case 'withdraw': {
					const queue = state.queue.filter(({work}) => work.requestId !== message.requestId);
					return {state: {...state, queue}, effects: [{kind: 'answer-withdraw', replyId: message.replyId, result: {kind: 'withdrawn'}}]};
				}

				case 'task-ended': {
					const running = new Map(state.running);
					running.delete(message.requestId);
					return startFirst({...state, running}, [{
						kind: 'answer-run',
						replyId: state.running.get(message.requestId) ?? 0,
						answer: {kind: 'ran', result: {...message.result, serviceMilliseconds: 0, queueMilliseconds: 0}},
					}]);
				}

				case 'drain': {
					return {state: {queue: [], running: new Map()}, effects: [{kind: 'report-drained'}]};
				}

				case 'find':
				case 'tick':
				case 'task-lost':
				case 'task-not-started':
				case 'slice-received': {
					return {state, effects: []};
				}
			}
		},
	};
}
