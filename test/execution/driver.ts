/** Runs an agent's decisions under virtual time with a simulated worker that runs each task for `payload.milliseconds`. */
import type {
	AgentAnswer, Incarnation, PlanName, RequestId, RequestWork, Step,
} from '#core';
import type {
	ExecutionEffect, ExecutionMessage, FoundState, CurrentTime, WithdrawalResult,
} from '#execution';
import {createVirtualClock, startTask, type VirtualClock} from '#kernel';

export const incarnation = 'first-run' as Incarnation;
/** Wall-clock time at the start of every case. */
export const startTime = 1_700_000_000_000;

/** An identifier created at the given time; the serial number distinguishes identifiers of the same millisecond. */
export function createIdentifier(createdAt: number, serial: number): RequestId {
	const time = createdAt.toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${String(serial).padStart(12, '0')}` as RequestId;
}

export function createWork(serial: number, milliseconds: number, overrides: Partial<Readonly<Record<keyof RequestWork, unknown>>> = {}): RequestWork {
	const work = {
		requestId: createIdentifier(startTime, serial), plan: 'rosters' as PlanName, kind: 'roster', idempotent: false, payload: {milliseconds}, ...overrides,
	};
	return work as RequestWork;
}

export type Answered = Readonly<{at: number; answer: AgentAnswer | FoundState | WithdrawalResult}>;

type Sendable = ExecutionMessage extends infer Message ? Message extends {replyId: number} ? Omit<Message, 'replyId'> : Message : never;

export type Driver = Readonly<{
	clock: VirtualClock;
	/** Identifiers in the order in which their tasks were started. */
	starts: readonly RequestId[];
	effects: readonly ExecutionEffect[];
	/** Sends a message and returns its reply identifier. */
	send(message: Sendable): number;
	/** Sends `run` as short work that is expected to take 50 ms. */
	run(work: RequestWork, overrides?: Partial<Extract<ExecutionMessage, {kind: 'run'}>>): number;
	/** The answers to one message, with the virtual time of each. */
	answersOf(replyId: number): readonly Answered[];
}>;

export type StateMachine<State> = Readonly<{
	initialState: State;
	receive(state: State, message: ExecutionMessage, time: CurrentTime): Step<State, ExecutionEffect>;
}>;

export function createDriver<State>({initialState, receive}: StateMachine<State>): Driver {
	const clock = createVirtualClock(startTime);
	const starts: RequestId[] = [];
	const effects: ExecutionEffect[] = [];
	const answers = new Map<number, Answered[]>();
	let nextReplyId = 1;
	const task = startTask<State, ExecutionMessage, ExecutionEffect>({name: 'execution', initialState, receive}, {
		clock,
		perform(effect, send) {
			effects.push(effect);
			switch (effect.kind) {
				case 'start-task': {
					const {requestId, payload} = effect.work;
					starts.push(requestId);
					clock.schedule((payload as Readonly<{milliseconds: number}>).milliseconds, () => {
						send({kind: 'task-ended', requestId, result: {status: 'succeeded', body: requestId}});
					});
					break;
				}

				case 'answer-run':
				case 'answer-find':
				case 'answer-withdraw': {
					const answer = 'answer' in effect ? effect.answer : ('found' in effect ? effect.found : effect.result);
					answers.set(effect.replyId, [...answers.get(effect.replyId) ?? [], {at: clock.monotonic(), answer}]);
					break;
				}

				case 'schedule-tick': {
					clock.schedule(effect.delay, () => {
						send({kind: 'tick'});
					});
					break;
				}

				case 'count-refusal':
				case 'report-drained': {
					break;
				}
			}
		},
	});
	const send = (message: Sendable) => {
		const replyId = nextReplyId++;
		task.send({...message, replyId} as ExecutionMessage);
		return replyId;
	};

	send({kind: 'tick'});
	return {
		clock,
		send,
		run: (work, overrides = {}) => send({
			kind: 'run', work, incarnation, serviceClass: 'short', estimatedMilliseconds: 50, ...overrides,
		}),
		answersOf: replyId => answers.get(replyId) ?? [],
		starts,
		effects,
	};
}
