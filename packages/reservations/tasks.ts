import type {MonotonicTime, RefusalReason} from '#core';
import {endGang, endMember, isRunning} from './end.js';
import {putGang, type ReservationStep} from './state.js';
import type {
	GangRecord, MemberRecord, MemberState, ReservationMessage, ReservationState, TaskReference,
} from './types.js';

type RunningTask = Readonly<{gang: GangRecord; member: MemberRecord}>;

function findRunningTask(state: ReservationState, task: TaskReference): RunningTask | undefined {
	for (const gang of state.gangs.values()) {
		const member = gang.members.find(candidate => candidate.member === task.member);
		if (gang.job === task.job && gang.taskAttempt === task.attempt && member !== undefined && isRunning(member)) {
			return {gang, member};
		}
	}

	return undefined;
}

/** Reasons after which a result is discarded, because the gang may already run elsewhere. */
const fencedReasons: ReadonlySet<RefusalReason> = new Set(['lease-lapsed', 'stale-attempt']);

/** Records the end of a task. If it failed, the other members of its gang on this worker are ended too. */
export function finishTask(state: ReservationState, message: Extract<ReservationMessage, {kind: 'task-finished'}>, monotonic: MonotonicTime): ReservationStep {
	const found = findRunningTask(state, message.task);
	if (found === undefined) {
		return {state, effects: []};
	}

	const {gang, member} = found;
	const {phase} = gang;
	const isFenced = phase.kind === 'stopping' && fencedReasons.has(phase.reason);
	const ended: MemberState = isFenced
		? {kind: 'stopped', started: true, reason: phase.reason}
		: {
			kind: 'finished',
			result: {
				status: message.status, body: message.body, serviceMilliseconds: monotonic - member.startedAt, queueMilliseconds: 0,
			},
		};
	const step = endMember(state, gang, {member: member.member, state: ended}, monotonic);
	return message.status === 'failed' ? endOtherMembers(step, gang, monotonic) : step;
}

function endOtherMembers(step: ReservationStep, {job, attempt}: GangRecord, monotonic: MonotonicTime): ReservationStep {
	const gang = step.state.gangs.get(`${job}/${attempt}`);
	if (gang === undefined) {
		return step;
	}

	const ending = endGang(step.state, gang, 'worker-failed', monotonic);
	return {state: ending.state, effects: [...step.effects, ...ending.effects]};
}

/** Records that the worker no longer runs a task, or refused to start it. */
export function recordStoppedTask(state: ReservationState, message: Extract<ReservationMessage, {kind: 'task-stopped'}>, monotonic: MonotonicTime): ReservationStep {
	const found = findRunningTask(state, message.task);
	if (found === undefined) {
		return {state, effects: []};
	}

	const {gang, member} = found;
	const {phase} = gang;
	const reason = phase.kind === 'stopping' || phase.kind === 'evicting' ? phase.reason : 'worker-failed';
	const ended: MemberState = {
		kind: 'stopped', started: message.wasStarted, reason, ...(member.checkpoint === undefined ? {} : {checkpoint: member.checkpoint}),
	};
	return endOtherMembers(endMember(state, gang, {member: member.member, state: ended}, monotonic), gang, monotonic);
}

/** Stops the gang of a task that the worker does not respond about. Its accelerators stay held until the stop is confirmed. */
export function stopLostTask(state: ReservationState, {task}: Extract<ReservationMessage, {kind: 'task-lost'}>, monotonic: MonotonicTime): ReservationStep {
	const found = findRunningTask(state, task);
	return found === undefined ? {state, effects: []} : endGang(state, found.gang, 'worker-failed', monotonic);
}

/** Stores a checkpoint. A gang that is being evicted is stopped as soon as every running member has one. */
export function recordCheckpoint(state: ReservationState, message: Extract<ReservationMessage, {kind: 'task-checkpointed'}>, monotonic: MonotonicTime): ReservationStep {
	const found = findRunningTask(state, message.task);
	if (found === undefined) {
		return {state, effects: []};
	}

	const members = found.gang.members.map(member => member.member === found.member.member ? {...member, checkpoint: message.checkpoint} : member);
	const gang = {...found.gang, members};
	const isComplete = members.filter(isRunning).every(({checkpoint}) => checkpoint !== undefined);
	return gang.phase.kind === 'evicting' && isComplete
		? endGang(putGang(state, gang), gang, gang.phase.reason, monotonic)
		: {state: putGang(state, gang), effects: []};
}
