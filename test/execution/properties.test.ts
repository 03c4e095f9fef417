import {expect} from 'chai';
import fastCheck from 'fast-check';
import type {PlanName, RequestId} from '#core';
import {
	createExecutionSettings, createExecutionState, receiveExecutionMessage, type ExecutionEffect, type ExecutionMessage,
} from '#execution';
import {startTime, createWork, incarnation} from './driver';

const slots = 3;
const settings = {
	...createExecutionSettings(incarnation, slots), maximumRetainedAnswers: 8, retentionMilliseconds: 300_000, queue: {slots, reservedForShort: 1, maximumQueued: 4},
};
const runs = 500;
const seed = 20_261_204;

type Action =
	| Readonly<{kind: 'run'; serial: number; idempotent: boolean; isLong: boolean; isUrgent: boolean}>
	| Readonly<{kind: 'withdraw' | 'find'; serial: number}>
	| Readonly<{kind: 'end' | 'lose' | 'refuse'; position: number}>
	| Readonly<{kind: 'wait'; milliseconds: number}>
	| Readonly<{kind: 'limit'; maximumSlots: number}>
	| Readonly<{kind: 'drain'}>;

const serial = fastCheck.nat({max: 29});
/** The plan is part of a request's fingerprint, so it is derived from the identifier. */
const plans = ['domes', 'rosters', 'layouts'] as const;
const actionArbitrary: fastCheck.Arbitrary<Action> = fastCheck.oneof(
	{
		weight: 6, arbitrary: fastCheck.record({
			kind: fastCheck.constant('run' as const), serial, idempotent: fastCheck.boolean(), isLong: fastCheck.boolean(), isUrgent: fastCheck.boolean(),
		}),
	},
	{weight: 20, arbitrary: fastCheck.record({kind: fastCheck.constantFrom('withdraw' as const, 'find' as const), serial})},
	{weight: 15, arbitrary: fastCheck.record({kind: fastCheck.constantFrom('end' as const, 'lose' as const, 'refuse' as const), position: fastCheck.nat({max: slots})})},
	{weight: 10, arbitrary: fastCheck.record({kind: fastCheck.constant('wait' as const), milliseconds: fastCheck.constantFrom(10, 500, 1500, 100_000, 400_000)})},
	{weight: 10, arbitrary: fastCheck.record({kind: fastCheck.constant('limit' as const), maximumSlots: fastCheck.nat({max: slots})})},
	{weight: 1, arbitrary: fastCheck.record({kind: fastCheck.constant('drain' as const)})},
);

/** Executes a schedule of actions and checks what the worker and the callers observe. */
function createChecker() {
	let state = createExecutionState(settings);
	let elapsed = 0;
	let nextReplyId = 1;
	let drainedReports = 0;
	const running: RequestId[] = [];
	const startsOf = new Map<RequestId, number>();
	const answersOf = new Map<number, number>();
	const refused = new Set<RequestId>();
	const withdrawnAt = new Map<RequestId, number>();
	const createdAtBySerial = new Map<number, number>();

	const observe = (message: ExecutionMessage, effect: ExecutionEffect) => {
		switch (effect.kind) {
			case 'start-task': {
				const {requestId, idempotent} = effect.work;
				// A tombstone outlives every delayed message; a later submission counts as a new request if it is idempotent.
				const isTombstoneValid = elapsed - (withdrawnAt.get(requestId) ?? -Infinity) < settings.retentionMilliseconds;
				expect(isTombstoneValid || (!idempotent && withdrawnAt.has(requestId)), 'a withdrawn identifier started').to.equal(false);
				expect(!idempotent && refused.has(requestId), 'a refused identifier started').to.equal(false);
				expect(running.includes(requestId), 'an identifier runs twice at once').to.equal(false);
				running.push(requestId);
				startsOf.set(requestId, (startsOf.get(requestId) ?? 0) + 1);
				break;
			}

			case 'answer-run':
			case 'answer-find':
			case 'answer-withdraw': {
				answersOf.set(effect.replyId, (answersOf.get(effect.replyId) ?? 0) + 1);
				if (effect.kind === 'answer-run' && effect.answer.kind === 'refused' && message.kind === 'run') {
					refused.add(message.work.requestId);
				}

				if (effect.kind === 'answer-withdraw' && effect.result.kind === 'withdrawn' && message.kind === 'withdraw') {
					expect(running.includes(message.requestId), 'a running identifier counts as withdrawn').to.equal(false);
					withdrawnAt.set(message.requestId, elapsed);
				}

				break;
			}

			case 'report-drained': {
				drainedReports++;
				break;
			}

			case 'count-refusal':
			case 'schedule-tick': {
				break;
			}
		}
	};

	const send = (message: ExecutionMessage) => {
		const step = receiveExecutionMessage(state, message, {now: startTime + elapsed, monotonic: elapsed});
		state = step.state;
		for (const effect of step.effects) {
			observe(message, effect);
		}

		expect(running.length, 'more tasks than slots').to.be.at.most(slots);
		expect(state.queue.running.size).to.equal(running.length);
		expect(state.ledger.totalSize.answers, 'retained answers').to.be.at.most(settings.maximumRetainedAnswers);
		expect(state.queue.queued).to.be.at.most(settings.queue.maximumQueued);
	};

	const sendWithReply = (message: Readonly<Record<string, unknown>>) => {
		const replyId = nextReplyId++;
		answersOf.set(replyId, 0);
		send({...message, replyId} as unknown as ExecutionMessage);
	};

	const idOf = (action: Readonly<{serial: number}>) => {
		const createdAt = createdAtBySerial.get(action.serial) ?? elapsed;
		createdAtBySerial.set(action.serial, createdAt);
		const hexadecimal = (startTime + createdAt).toString(16).padStart(12, '0');
		return `${hexadecimal.slice(0, 8)}-${hexadecimal.slice(8)}-7000-8000-${String(action.serial).padStart(12, '0')}` as RequestId;
	};

	const end = (position: number, kind: 'end' | 'lose' | 'refuse') => {
		const [requestId] = running.splice(position, 1);
		if (requestId === undefined) {
			return;
		}

		if (kind === 'refuse') {
			// The worker guarantees that it did not start.
			startsOf.set(requestId, (startsOf.get(requestId) ?? 0) - 1);
			send({kind: 'task-not-started', requestId, reason: 'worker-failed'});
		} else {
			send(kind === 'lose' ? {kind: 'task-lost', requestId, reason: 'worker-failed'} : {kind: 'task-ended', requestId, result: {status: 'succeeded', body: 1}});
		}
	};

	return {
		perform(action: Action) {
			switch (action.kind) {
				case 'run': {
					const {idempotent, isLong, isUrgent} = action;
					const work = createWork(0, 0, {
						requestId: idOf(action), idempotent, plan: plans[action.serial % plans.length], ...(isUrgent ? {latestUsefulAt: startTime + elapsed + 1000} : {}),
					});
					sendWithReply({
						kind: 'run', work, incarnation, serviceClass: isLong ? 'long' : 'short', estimatedMilliseconds: isLong ? 5000 : 50,
					});
					break;
				}

				case 'withdraw':
				case 'find': {
					sendWithReply({kind: action.kind, requestId: idOf(action), incarnation});
					break;
				}

				case 'end':
				case 'lose':
				case 'refuse': {
					end(action.position, action.kind);
					break;
				}

				case 'wait': {
					elapsed += action.milliseconds;
					send({kind: 'tick'});
					break;
				}

				case 'limit': {
					send({kind: 'slice-received', limits: new Map([['domes' as PlanName, {weight: 2, maximumSlots: action.maximumSlots, maximumQueued: 2}]])});
					break;
				}

				case 'drain': {
					send({kind: 'drain'});
					break;
				}
			}
		},
		/** Drains the agent and checks the invariants that hold at the end of every schedule. */
		finish() {
			send({kind: 'drain'});
			while (running.length > 0) {
				end(0, 'end');
			}

			expect(drainedReports).to.equal(1);
			expect([...answersOf].filter(([, count]) => count !== 1), 'messages that were not answered exactly once').to.deep.equal([]);
		},
		startsOf,
	};
}

type Case = Readonly<{name: string; actions: fastCheck.Arbitrary<readonly Action[]>}>;

const cases: readonly Case[] = [
	{
		name: 'a non-idempotent request starts at most once, slots are never exceeded and every message is answered once, whatever the order of messages',
		actions: fastCheck.array(actionArbitrary, {maxLength: 60}),
	},
	{
		name: 'the same holds while the ledger is full of pinned answers',
		actions: fastCheck.array(actionArbitrary, {minLength: 30, maxLength: 120}).map(actions =>
			actions.map(action => action.kind === 'run' ? {...action, idempotent: false} : action).filter(({kind}) => kind !== 'drain')),
	},
];

describe('execution under random schedules', () => {
	for (const {name, actions} of cases) {
		it(name, () => {
			fastCheck.assert(fastCheck.property(actions, schedule => {
				const checker = createChecker();
				const idempotentBySerial = new Map<number, boolean>();
				for (const action of schedule) {
					// All requests with one identifier have the same `idempotent` flag.
					const idempotent = action.kind === 'run' ? idempotentBySerial.get(action.serial) ?? action.idempotent : false;
					if (action.kind === 'run') {
						idempotentBySerial.set(action.serial, idempotent);
					}

					checker.perform(action.kind === 'run' ? {...action, idempotent} : action);
				}

				for (const [requestId, starts] of checker.startsOf) {
					const identifier = Number(requestId.slice(-12));
					if (idempotentBySerial.get(identifier) === false) {
						expect(starts, 'starts of one non-idempotent identifier').to.be.at.most(1);
					}
				}

				checker.finish();
			}), {numRuns: runs, seed});
		});
	}
});
