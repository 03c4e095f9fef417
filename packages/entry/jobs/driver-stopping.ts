import type {RefusalReason, Timestamp, WorkerId} from '#core';
import {
	gangLeaseMilliseconds, type GangFindResult, type MemberState, type StopResult,
} from '#protocol';
import {
	cancelJob, resolveGangLoss, resolveResults, listMembers, requeueJob, revertStart, type MemberResult,
} from '#recovery';
import {leaseExpiryMarginMilliseconds, resendDelayMilliseconds} from './constants.js';
import {
	listWorkers, listMembersOn, writeRecord, type DriverStep,
} from './driver-state.js';
import type {
	DriverEffect, DriverMessage, DriverPhase, DriverState, StopCause, CallFailure,
} from './driver-types.js';

type StoppingPhase = Extract<DriverPhase, {kind: 'stopping'}>;

function createStopEffects({record}: DriverState, mode: 'checkpoint' | 'stop'): readonly DriverEffect[] {
	return listWorkers(record).map(worker => ({
		kind: 'stop', record, worker, mode,
	}));
}

/** Abandons a gang of which no member was started. Reservations whose agents cannot be reached expire by themselves. */
export function abandonPlacement(state: DriverState, reason: RefusalReason): DriverStep {
	const failures = state.failures + 1;
	return {
		state: {
			...state, record: requeueJob(state.record), phase: {kind: 'waiting'}, waitingFor: reason, failures,
		},
		effects: [...createStopEffects(state, 'stop'), {kind: 'back-off', failures, message: {kind: 'placement-due'}}],
	};
}

/** Members evicted for these reasons have saved a checkpoint in the grace period, so the gang can resume if the other members save theirs too. */
const evictionReasons: ReadonlySet<RefusalReason> = new Set(['cell-not-owned', 'draining']);

/** Stops every member of a gang that may have started, and waits until all agents confirm or every lease has expired. */
export function beginStopping(state: DriverState, cause: StopCause, reason: RefusalReason): DriverStep {
	const mode = cause === 'lost' && evictionReasons.has(reason) ? 'checkpoint' : 'stop';
	return {
		state: {
			...state, lossReason: undefined, phase: {
				kind: 'stopping', cause, reason, mode, awaitingEnds: new Map(), answers: new Map(),
			},
		},
		effects: [
			...createStopEffects(state, mode),
			{kind: 'schedule', delay: gangLeaseMilliseconds + leaseExpiryMarginMilliseconds, message: {kind: 'step-timed-out', step: 'stop', attempt: state.record.attempt}},
		],
	};
}

export function receiveStopAnswer(state: DriverState, phase: StoppingPhase, message: Extract<DriverMessage, {kind: 'stop-answered'}>, now: Timestamp): DriverStep {
	const {worker, attempt, answer} = message;
	if (attempt !== state.record.attempt) {
		return {state, effects: []};
	}

	if (answer.kind === 'unreachable') {
		return {state, effects: [{kind: 'schedule', delay: resendDelayMilliseconds, message: {kind: 'resend-stop', attempt, worker}}]};
	}

	// The gang may have finished before the stop arrived; its results are queried, since the messages about them may be lost.
	const mayHaveResults = answer.kind === 'finished' || answer.kind === 'stopped';
	if (mayHaveResults && listMembersOn(state.record, worker).some(({member}) => !state.ends.has(member))) {
		const awaitingEnds = new Map(phase.awaitingEnds).set(worker, answer);
		return {state: {...state, phase: {...phase, awaitingEnds}}, effects: [{kind: 'find', record: state.record, worker}]};
	}

	return recordStopAnswer(state, phase, {worker, answer}, now);
}

function recordStopAnswer(state: DriverState, phase: StoppingPhase, {worker, answer}: Readonly<{worker: WorkerId; answer: StopResult | CallFailure}>, now: Timestamp): DriverStep {
	const answers = new Map(phase.answers).set(worker, answer);
	const next = {...phase, answers};
	return listWorkers(state.record).every(stoppedWorker => answers.has(stoppedWorker))
		? concludeStop({...state, phase: next}, next, now)
		: {state: {...state, phase: next}, effects: []};
}

/** Records how the members on one worker ended, as its agent reports after a stop. */
export function receiveEndsAfterStop(state: DriverState, phase: StoppingPhase, message: Extract<DriverMessage, {kind: 'found'}>, now: Timestamp): DriverStep {
	const {worker, attempt, answer} = message;
	const stopAnswer = phase.awaitingEnds.get(worker);
	if (attempt !== state.record.attempt || stopAnswer === undefined || phase.answers.has(worker)) {
		return {state, effects: []};
	}

	switch (answer.kind) {
		case 'unreachable': {
			return {state, effects: [{kind: 'schedule', delay: resendDelayMilliseconds, message: {kind: 'resend-find', attempt, worker}}]};
		}

		case 'gone': {
			return recordStopAnswer(state, phase, {worker, answer: stopAnswer}, now);
		}

		case 'found': {
			const expected = new Set(listMembersOn(state.record, worker).map(({member}) => member));
			const ended = answer.members.filter(({member, state: end}) => expected.has(member) && (end.kind === 'finished' || end.kind === 'stopped'));
			const ends = new Map([...state.ends, ...ended.map(({member, state: end}) => [member, end] as const)]);
			return recordStopAnswer({...state, ends}, phase, {worker, answer: stopAnswer}, now);
		}
	}
}

export function resendStop(state: DriverState, phase: StoppingPhase, {worker, attempt}: Extract<DriverMessage, {kind: 'resend-stop'}>): DriverStep {
	const isDue = attempt === state.record.attempt && !phase.answers.has(worker) && !phase.awaitingEnds.has(worker);
	const {record} = state;
	return {
		state, effects: isDue
			? [{
				kind: 'stop', record, worker, mode: phase.mode,
			}]
			: [],
	};
}

/** Decides the job's next state after its gang was stopped; agents that did not answer hold no lease any more. */
export function concludeStop(state: DriverState, phase: StoppingPhase, now: Timestamp): DriverStep {
	const {record} = state;
	const results = listResults(state);
	const answers = new Map([...phase.awaitingEnds, ...phase.answers]);
	const neverStarted = listWorkers(record).every(worker => answers.get(worker)?.kind === 'never-started');
	if (results.length === listMembers(record).length) {
		return writeRecord(state, resolveResults(record, results, now));
	}

	// A failed member fails the job, even if its end became known only after the gang was lost.
	const hasFailed = results.some(({result}) => result.status === 'failed');
	switch (phase.cause === 'lost' && hasFailed ? 'failed' : phase.cause) {
		case 'cancelled': {
			return writeRecord(state, cancelJob(neverStarted ? revertStart(record) : record, now));
		}

		case 'failed': {
			return writeRecord(state, resolveResults(record, results, now));
		}

		case 'lost': {
			const loss = {
				reason: phase.reason,
				neverStarted,
				isUncertain: listWorkers(record).some(worker => isUncertain(state, worker, answers.get(worker))),
				checkpoints: collectCheckpoints(state, phase),
			};
			return writeRecord({...state, failures: state.failures + 1, waitingFor: phase.reason}, resolveGangLoss(record, loss, now));
		}
	}
}

function isUncertain({record, ends}: DriverState, worker: WorkerId, answer: StopResult | CallFailure | undefined): boolean {
	const isAnswered = answer !== undefined && answer.kind !== 'gone' && answer.kind !== 'unreachable';
	return !isAnswered && listMembersOn(record, worker).some(({member}) => !ends.has(member));
}

function collectCheckpoints(state: DriverState, phase: StoppingPhase): Readonly<Record<string, unknown>> {
	const ended = [...state.ends].flatMap(([member, end]) => end.kind === 'stopped' && end.checkpoint !== undefined ? [[String(member), end.checkpoint] as const] : []);
	const answered = [...phase.answers.values()].flatMap(answer => answer.kind === 'stopped' ? Object.entries(answer.checkpoints) : []);
	return Object.fromEntries([...ended, ...answered]);
}

function listResults({ends}: DriverState): readonly MemberResult[] {
	return [...ends].flatMap(([member, end]) => end.kind === 'finished' ? [{member, result: end.result}] : [])
		.toSorted((a, b) => a.member - b.member);
}

/** Records how a member ended. A member that did not succeed stops the whole gang. */
export function receiveEnd(state: DriverState, member: number, end: MemberState, now: Timestamp): DriverStep {
	if (end.kind !== 'finished' && end.kind !== 'stopped') {
		return {state, effects: []};
	}

	const next = {...state, ends: new Map(state.ends).set(member, end)};
	const failure = findMemberFailure(end);
	switch (state.phase.kind) {
		case 'agreeing': {
			const isPlacing = state.phase.step === 'reserve' || state.phase.step === 'commit';
			return isPlacing ? abandonPlacement(state, failure?.reason ?? 'worker-failed') : applyMemberEnd(next, failure, now);
		}

		case 'running': {
			return applyMemberEnd(next, failure, now);
		}

		case 'writing': {
			// Ends that belong to an earlier attempt do not affect the placement that is being written.
			return {state: state.phase.next.state.kind === 'running' ? {...next, lossReason: failure?.reason ?? state.lossReason} : state, effects: []};
		}

		case 'finding':
		case 'stopping': {
			return {state: next, effects: []};
		}

		case 'waiting':
		case 'placing':
		case 'done': {
			return {state, effects: []};
		}
	}
}

/** Records the ends of several members; members that still run or whose end is already recorded are skipped. */
export function receiveEnds(state: DriverState, members: GangFindResult['members'], now: Timestamp): DriverStep {
	return members.filter(({member}) => !state.ends.has(member)).reduce<DriverStep>((step, {member, state: end}) => {
		const next = receiveEnd(step.state, member, end, now);
		return {state: next.state, effects: [...step.effects, ...next.effects]};
	}, {state, effects: []});
}

type MemberFailure = Readonly<{cause: StopCause; reason: RefusalReason}>;

function findMemberFailure(end: Extract<MemberState, {kind: 'finished' | 'stopped'}>): MemberFailure | undefined {
	if (end.kind === 'stopped') {
		return {cause: 'lost', reason: end.reason};
	}

	return end.result.status === 'failed' ? {cause: 'failed', reason: 'worker-failed'} : undefined;
}

function applyMemberEnd(state: DriverState, failure: MemberFailure | undefined, now: Timestamp): DriverStep {
	return failure === undefined ? concludeIfComplete(state, now) : beginStopping(state, failure.cause, failure.reason);
}

function concludeIfComplete(state: DriverState, now: Timestamp): DriverStep {
	const results = listResults(state);
	return results.length === listMembers(state.record).length
		? writeRecord(state, resolveResults(state.record, results, now))
		: {state, effects: []};
}
