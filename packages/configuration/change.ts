import {
	assertNever, type Milliseconds, type RandomSource, type Step, type Timestamp,
} from '#core';
import {changeRetryMaximumMilliseconds, changeRetryMinimumMilliseconds} from './constants.js';
import type {Configuration, Lists} from './types.js';

/** A change that an operator requests. */
export type Change = Readonly<{
	lists: Lists;
	/** Revision on which the operator's lists are based; 0 if there is no configuration yet. */
	base: number;
	/** Unique for each change and part of every write of it. */
	changeId: string;
	changedBy: string;
	changedAt: Timestamp;
}>;

/** A configuration and its version in the store. */
export type StoredConfiguration = Readonly<{configuration: Configuration; version: number}>;

/** The result of a change that is reported to the operator. */
export type ChangeOutcome =
	/** The change took effect; `current` is higher than `revision` if later changes followed. */
	| Readonly<{kind: 'applied'; revision: number; current: number}>
	| Readonly<{kind: 'stale-base'; base: number; current: number; changedBy: string | undefined}>
	/** The change did not take effect and will not. */
	| Readonly<{kind: 'unavailable'; message: string}>
	/** The change may have taken effect or may still do so. */
	| Readonly<{kind: 'unknown'; changeId: string; revision: number; message: string}>;

type Pending = Readonly<{next: Configuration; expectedVersion: number}>;

/** The call that is outstanding, or is sent after the retry delay. */
export type ChangeStage =
	| Readonly<{kind: 'reading'}>
	| Readonly<{kind: 'archiving'; current: Configuration; pending: Pending}>
	| Readonly<{kind: 'writing'; pending: Pending}>
	/** Reads the value back after a write whose answer was lost. */
	| Readonly<{kind: 'verifying'; pending: Pending}>
	/** Searches the earlier revisions for the change. */
	| Readonly<{kind: 'searching'; pending: Pending; current: StoredConfiguration}>
	| Readonly<{kind: 'concluded'}>;

export type ChangeState = Readonly<{
	change: Change;
	stage: ChangeStage;
	/** A write was sent that may have been applied or may still be applied. */
	isUncertain: boolean;
	lastFailure: string;
}>;

export type ChangeMessage =
	| Readonly<{kind: 'due'}>
	| Readonly<{kind: 'current-read'; current: StoredConfiguration | undefined}>
	| Readonly<{kind: 'archived'}>
	| Readonly<{kind: 'written'}>
	| Readonly<{kind: 'conflict'; current: StoredConfiguration | undefined}>
	| Readonly<{kind: 'history-read'; configuration: Configuration | undefined}>
	| Readonly<{kind: 'failed'; effect: 'not-applied' | 'perhaps-applied'; message: string; retryAfter?: Milliseconds | undefined}>
	| Readonly<{kind: 'deadline'}>;

export type ChangeEffect =
	| Readonly<{kind: 'read-current'}>
	/** Archives the revision that is about to be replaced, so that its writer can still find the change there. */
	| Readonly<{kind: 'archive'; configuration: Configuration}>
	| Readonly<{kind: 'write'; configuration: Configuration; expectedVersion: number}>
	| Readonly<{kind: 'read-history'; revision: number}>
	| Readonly<{kind: 'schedule'; delay: Milliseconds}>
	| Readonly<{kind: 'conclude'; outcome: ChangeOutcome}>;

type ChangeStep = Step<ChangeState, ChangeEffect>;

export function createChangeState(change: Change): ChangeState {
	return {
		change, stage: {kind: 'reading'}, isUncertain: false, lastFailure: 'no answer in time',
	};
}

/**
Determines the store calls of one change and the outcome that is reported to its writer.

A write whose answer was lost is never assumed to have failed: the value is read back, and the unique change identifier shows whether it took effect. If it did not yet, the same compare-and-swap is retried, which cannot apply the change twice.
*/
export function receiveChangeMessage(state: ChangeState, message: ChangeMessage, random: RandomSource): ChangeStep {
	const {stage} = state;
	if (stage.kind === 'concluded') {
		return {state, effects: []};
	}

	switch (message.kind) {
		case 'due': {
			return {state, effects: listCalls(state)};
		}

		case 'current-read': {
			return stage.kind === 'reading' ? prepareWrite(state, message.current) : resolveWrite(state, message.current);
		}

		case 'archived': {
			return stage.kind === 'archiving' ? enterStage(state, {kind: 'writing', pending: stage.pending}) : {state, effects: []};
		}

		case 'written': {
			return stage.kind === 'writing' ? concludeApplied(state, stage.pending.next.revision, stage.pending.next.revision) : {state, effects: []};
		}

		case 'conflict': {
			return resolveWrite(state, message.current);
		}

		case 'history-read': {
			return stage.kind === 'searching' ? concludeSearch(state, stage, message.configuration) : {state, effects: []};
		}

		case 'failed': {
			return retryLater(state, message, random);
		}

		case 'deadline': {
			return concludeWithoutAnswer(state);
		}

		default: {
			return assertNever(message);
		}
	}
}

function enterStage(state: ChangeState, stage: ChangeStage): ChangeStep {
	const next = {...state, stage};
	return {state: next, effects: listCalls(next)};
}

function listCalls({stage}: ChangeState): readonly ChangeEffect[] {
	switch (stage.kind) {
		case 'reading':
		case 'verifying': {
			return [{kind: 'read-current'}];
		}

		case 'archiving': {
			return [{kind: 'archive', configuration: stage.current}];
		}

		case 'writing': {
			return [{kind: 'write', configuration: stage.pending.next, expectedVersion: stage.pending.expectedVersion}];
		}

		case 'searching': {
			return [{kind: 'read-history', revision: stage.pending.next.revision}];
		}

		case 'concluded': {
			return [];
		}

		default: {
			return assertNever(stage);
		}
	}
}

/** Builds the next revision, or rejects a base that is not the current revision. */
function prepareWrite(state: ChangeState, current: StoredConfiguration | undefined): ChangeStep {
	const {change: {lists, base, ...author}} = state;
	if ((current?.configuration.revision ?? 0) !== base) {
		return concludeStale(state, current);
	}

	const pending = {next: {...lists, ...author, revision: base + 1}, expectedVersion: current?.version ?? 0};
	return current === undefined
		? enterStage(state, {kind: 'writing', pending})
		: enterStage(state, {kind: 'archiving', current: current.configuration, pending});
}

/** Determines the outcome of a write from the current value. */
function resolveWrite(state: ChangeState, current: StoredConfiguration | undefined): ChangeStep {
	const {stage, change} = state;
	if (stage.kind !== 'writing' && stage.kind !== 'verifying') {
		return {state, effects: []};
	}

	const {pending} = stage;
	const revision = current?.configuration.revision ?? 0;
	if (current?.configuration.changeId === change.changeId) {
		return concludeApplied(state, revision, revision);
	}

	if ((current?.version ?? 0) === pending.expectedVersion) {
		return enterStage(state, {kind: 'writing', pending});
	}

	if (!state.isUncertain || current === undefined || revision === pending.next.revision) {
		return concludeStale(state, current);
	}

	return revision > pending.next.revision
		? enterStage(state, {kind: 'searching', pending, current})
		: concludeUnknown(state, pending, 'the stored revision went back');
}

function concludeSearch(state: ChangeState, {pending, current}: Extract<ChangeStage, {kind: 'searching'}>, found: Configuration | undefined): ChangeStep {
	if (found?.changeId === state.change.changeId) {
		return concludeApplied(state, found.revision, current.configuration.revision);
	}

	return found?.revision === pending.next.revision
		? concludeStale(state, current)
		: concludeUnknown(state, pending, 'the history does not reach back to the change');
}

function retryLater(state: ChangeState, {effect, message, retryAfter = 0}: Extract<ChangeMessage, {kind: 'failed'}>, random: RandomSource): ChangeStep {
	const {stage} = state;
	const isUncertain = state.isUncertain || (stage.kind === 'writing' && effect === 'perhaps-applied');
	// The value may have changed during the delay, so a failed write is preceded by a read.
	const next: ChangeStage = stage.kind === 'writing' ? {kind: 'verifying', pending: stage.pending} : stage;
	const delay = Math.max(retryAfter, changeRetryMinimumMilliseconds) + (random() * (changeRetryMaximumMilliseconds - changeRetryMinimumMilliseconds));
	return {
		state: {
			...state, stage: next, isUncertain, lastFailure: message,
		},
		effects: [{kind: 'schedule', delay}],
	};
}

function concludeWithoutAnswer(state: ChangeState): ChangeStep {
	const {stage, isUncertain, lastFailure} = state;
	switch (stage.kind) {
		case 'writing':
		case 'verifying':
		case 'searching': {
			// A write in flight may still be applied.
			return stage.kind === 'writing' || isUncertain
				? concludeUnknown(state, stage.pending, lastFailure)
				: conclude(state, {kind: 'unavailable', message: lastFailure});
		}

		case 'reading':
		case 'archiving':
		case 'concluded': {
			return conclude(state, {kind: 'unavailable', message: lastFailure});
		}

		default: {
			return assertNever(stage);
		}
	}
}

function concludeApplied(state: ChangeState, revision: number, current: number): ChangeStep {
	return conclude(state, {kind: 'applied', revision, current});
}

function concludeStale(state: ChangeState, current: StoredConfiguration | undefined): ChangeStep {
	return conclude(state, {
		kind: 'stale-base', base: state.change.base, current: current?.configuration.revision ?? 0, changedBy: current?.configuration.changedBy,
	});
}

function concludeUnknown(state: ChangeState, pending: Pending, message: string): ChangeStep {
	return conclude(state, {
		kind: 'unknown', changeId: state.change.changeId, revision: pending.next.revision, message,
	});
}

function conclude(state: ChangeState, outcome: ChangeOutcome): ChangeStep {
	return {state: {...state, stage: {kind: 'concluded'}}, effects: [{kind: 'conclude', outcome}]};
}
