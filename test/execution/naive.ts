/** The obvious agent: one line in order of arrival, and a memory of what has not ended yet. */
import type {RequestId} from '#core';
import type {ExecutionEffect, ExecutionMessage} from '#execution';
import type {Decisions} from './driver';

type Waiting = Readonly<Extract<ExecutionMessage, {kind: 'run'}>>;
type NaiveState = Readonly<{line: readonly Waiting[]; running: ReadonlyMap<RequestId, number>}>;

export function createNaiveAgent(slots: number, maximumQueued: number): Decisions<NaiveState> {
	const startFirst = (state: NaiveState, effects: readonly ExecutionEffect[]) => {
		const [first, ...line] = state.line;
		return first === undefined || state.running.size >= slots
			? {state, effects}
			: {
				state: {line, running: new Map(state.running).set(first.work.requestId, first.replyId)},
				effects: [...effects, {kind: 'start-task', work: first.work} as const],
			};
	};

	return {
		initialState: {line: [], running: new Map()},
		receive(state, message) {
			switch (message.kind) {
				case 'run': {
					return state.line.length >= maximumQueued
						? {state, effects: [{kind: 'answer-run', replyId: message.replyId, answer: {kind: 'refused', reason: 'queue-full'}}]}
						: startFirst({...state, line: [...state.line, message]}, []);
				}

				case 'withdraw': {
					const line = state.line.filter(({work}) => work.requestId !== message.requestId);
					return {state: {...state, line}, effects: [{kind: 'answer-withdraw', replyId: message.replyId, result: {kind: 'withdrawn'}}]};
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
					return {state: {line: [], running: new Map()}, effects: [{kind: 'report-empty'}]};
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
