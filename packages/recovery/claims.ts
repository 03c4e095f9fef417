import {
	assertNever, type MonotonicTime, type Place, type Step,
} from '#core';
import type {
	ClaimBook, ClaimKeyState, ClaimsEffect, ClaimsMessage, ClaimsState, WaitingClaim,
} from './claim-types.js';
import {
	claimLeaseReuseMilliseconds, identifierClockSkewMilliseconds, identifierRetentionMilliseconds, maximumClaimConflicts, maximumClaimsPerKey,
	maximumReadBacks, maximumWaitingClaims,
} from './constants.js';
import {formatClaimKey} from './identifiers.js';

type ClaimsStep = Step<ClaimsState, ClaimsEffect>;

export const initialClaimsState: ClaimsState = {keys: new Map(), lease: {kind: 'none'}};

const idleKey: ClaimKeyState = {
	version: 0, book: new Map(), phase: 'idle', inFlight: [], waiting: [], readBacks: 0, conflicts: 0, isUncertain: false, usedAt: 0,
};

/** Idle time after which the state of a key is discarded; every identifier in it has then expired. */
const idleKeyRetentionMilliseconds = identifierRetentionMilliseconds + (2 * identifierClockSkewMilliseconds);

/** Batches the claims waiting for a key into one compare-and-swap. Only one write per key is in flight. */
export function receiveClaimsMessage(state: ClaimsState, message: ClaimsMessage, {monotonic}: Readonly<{monotonic: MonotonicTime}>): ClaimsStep {
	switch (message.kind) {
		case 'claim': {
			return addClaim(state, message.waiting, monotonic);
		}

		case 'written': {
			return finishWrite(state, message, monotonic);
		}

		case 'conflict': {
			return mergeConflict(state, message, monotonic);
		}

		case 'write-failed': {
			return failWrite(state, message, monotonic);
		}

		case 'lease-unknown': {
			const current = state.keys.get(message.key);
			return current === undefined ? {state, effects: []} : startWrite({...state, lease: {kind: 'none'}}, message.key, current, monotonic);
		}

		case 'read': {
			const current = state.keys.get(message.key);
			return current?.phase === 'reading'
				// Writes the claims again even if the read shows none of them, so that a delayed first write conflicts.
				? startWrite(state, message.key, {...current, version: message.version, book: message.book}, monotonic)
				: {state, effects: []};
		}

		case 'read-failed': {
			return failRead(state, message.key, monotonic);
		}

		case 'lease-granted': {
			return state.lease.kind === 'requested'
				? startWaitingKeys({...state, lease: {kind: 'held', lease: message.lease, grantedAt: state.lease.requestedAt}}, monotonic)
				: {state, effects: []};
		}

		case 'lease-refused': {
			return refuseWaitingKeys({...state, lease: {kind: 'none'}}, monotonic);
		}

		case 'tick': {
			const retained = [...state.keys].filter(([, key]) => key.phase !== 'idle' || monotonic - key.usedAt < idleKeyRetentionMilliseconds);
			return {state: retained.length === state.keys.size ? state : {...state, keys: new Map(retained)}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

function addClaim(state: ClaimsState, waiting: WaitingClaim, monotonic: MonotonicTime): ClaimsStep {
	const key = formatClaimKey(waiting.requestId);
	const current = state.keys.get(key) ?? idleKey;
	if (current.waiting.length >= maximumWaitingClaims) {
		return {state, effects: [refuse(waiting, false)]};
	}

	const next = {...current, waiting: [...current.waiting, waiting], usedAt: monotonic};
	return current.phase === 'idle' ? startWrite(state, key, next, monotonic) : {state: replaceKey(state, key, next), effects: []};
}

function replaceKey(state: ClaimsState, key: string, next: ClaimKeyState): ClaimsState {
	return {...state, keys: new Map(state.keys).set(key, next)};
}

function refuse({replyId}: WaitingClaim, isUncertain: boolean): ClaimsEffect {
	return {kind: 'answer', replyId, result: {kind: 'unavailable', effect: isUncertain ? 'uncertain' : 'not-written'}};
}

function isSamePlace(left: Place, right: Place): boolean {
	return left.worker === right.worker && left.incarnation === right.incarnation;
}

type Resolution = Readonly<{book: ClaimBook; written: readonly WaitingClaim[]; effects: readonly ClaimsEffect[]}>;

/** Answers claims that stored claims already decide and adds the others to the book. */
function resolveClaims(book: ClaimBook, claims: readonly WaitingClaim[], isUncertain: boolean): Resolution {
	const next = new Map(book);
	const written: WaitingClaim[] = [];
	const effects: ClaimsEffect[] = [];
	for (const waiting of claims) {
		const {requestId, claim, from, replyId} = waiting;
		const existing = next.get(requestId);
		const isMove = existing !== undefined && from !== undefined && existing.owner === claim.owner && isSamePlace(existing.place, from);
		if (existing !== undefined && !isMove) {
			effects.push({kind: 'answer', replyId, result: {kind: 'held', claim: existing}});
		} else if (next.size >= maximumClaimsPerKey && existing === undefined) {
			effects.push(refuse(waiting, isUncertain));
		} else {
			next.set(requestId, claim);
			written.push(waiting);
		}
	}

	return {book: next, written, effects};
}

/** Writes all waiting claims of the key; requests a new lease first if the current one may no longer be used. */
function startWrite(state: ClaimsState, key: string, current: ClaimKeyState, monotonic: MonotonicTime): ClaimsStep {
	const claims = [...current.inFlight, ...current.waiting];
	const {book, written, effects} = resolveClaims(current.book, claims, current.isUncertain);
	if (written.length === 0) {
		return {
			state: replaceKey(state, key, {
				...current, phase: 'idle', inFlight: [], waiting: [], readBacks: 0, conflicts: 0, isUncertain: false,
			}),
			effects,
		};
	}

	const {lease} = state;
	if (lease.kind !== 'held' || monotonic - lease.grantedAt >= claimLeaseReuseMilliseconds) {
		const keyAwaitingLease: ClaimKeyState = {
			...current, phase: 'waiting-for-lease', inFlight: [], waiting: written,
		};
		const isRequested = lease.kind === 'requested';
		return {
			state: replaceKey(isRequested ? state : {...state, lease: {kind: 'requested', requestedAt: monotonic}}, key, keyAwaitingLease),
			effects: isRequested ? effects : [...effects, {kind: 'grant-lease'}],
		};
	}

	return {
		state: replaceKey(state, key, {
			...current, phase: 'writing', inFlight: written, waiting: [],
		}),
		effects: [...effects, {
			kind: 'write', key, book, expectedVersion: current.version, lease: lease.lease, added: written.length,
		}],
	};
}

function finishWrite(state: ClaimsState, {key, version}: Readonly<{key: string; version: number}>, monotonic: MonotonicTime): ClaimsStep {
	const current = state.keys.get(key);
	if (current?.phase !== 'writing') {
		return {state, effects: []};
	}

	const book = new Map(current.book);
	const answers = current.inFlight.map(({requestId, claim, replyId}): ClaimsEffect => {
		book.set(requestId, claim);
		return {kind: 'answer', replyId, result: {kind: 'held', claim}};
	});
	return continueKey(state, key, {...current, book, version}, {effects: answers, monotonic});
}

function mergeConflict(state: ClaimsState, {key, version, book}: Extract<ClaimsMessage, {kind: 'conflict'}>, monotonic: MonotonicTime): ClaimsStep {
	const current = state.keys.get(key);
	if (current?.phase !== 'writing') {
		return {state, effects: []};
	}

	const merged = {
		...current, version, book, conflicts: current.conflicts + 1,
	};
	return merged.conflicts > maximumClaimConflicts
		? refuseInFlight(state, key, merged, monotonic)
		: startWrite(state, key, merged, monotonic);
}

function failWrite(state: ClaimsState, {key, effect}: Extract<ClaimsMessage, {kind: 'write-failed'}>, monotonic: MonotonicTime): ClaimsStep {
	const current = state.keys.get(key);
	if (current?.phase !== 'writing') {
		return {state, effects: []};
	}

	switch (effect) {
		case 'not-applied': {
			return refuseInFlight(state, key, current, monotonic);
		}

		case 'perhaps-applied': {
			return {
				state: replaceKey(state, key, {...current, phase: 'reading', isUncertain: true}),
				effects: [{kind: 'read', key, attempt: current.readBacks}],
			};
		}
	}
}

function failRead(state: ClaimsState, key: string, monotonic: MonotonicTime): ClaimsStep {
	const current = state.keys.get(key);
	if (current?.phase !== 'reading') {
		return {state, effects: []};
	}

	const readBacks = current.readBacks + 1;
	return readBacks >= maximumReadBacks
		? refuseInFlight(state, key, current, monotonic)
		: {state: replaceKey(state, key, {...current, readBacks}), effects: [{kind: 'read', key, attempt: readBacks}]};
}

function refuseInFlight(state: ClaimsState, key: string, current: ClaimKeyState, monotonic: MonotonicTime): ClaimsStep {
	const effects = current.inFlight.map(waiting => refuse(waiting, current.isUncertain));
	return continueKey(state, key, current, {effects, monotonic});
}

/** Completes a batch and starts the next one if claims are waiting. */
function continueKey(state: ClaimsState, key: string, current: ClaimKeyState, {effects, monotonic}: Readonly<{effects: readonly ClaimsEffect[]; monotonic: MonotonicTime}>): ClaimsStep {
	const next: ClaimKeyState = {
		...current, phase: 'idle', inFlight: [], readBacks: 0, conflicts: 0, isUncertain: false, usedAt: monotonic,
	};
	const step = startWrite(state, key, next, monotonic);
	return {state: step.state, effects: [...effects, ...step.effects]};
}

function startWaitingKeys(state: ClaimsState, monotonic: MonotonicTime): ClaimsStep {
	let next = state;
	const effects: ClaimsEffect[] = [];
	for (const [key, current] of state.keys) {
		if (current.phase === 'waiting-for-lease') {
			const step = startWrite(next, key, current, monotonic);
			next = step.state;
			effects.push(...step.effects);
		}
	}

	return {state: next, effects};
}

function refuseWaitingKeys(state: ClaimsState, monotonic: MonotonicTime): ClaimsStep {
	let next = state;
	const effects: ClaimsEffect[] = [];
	for (const [key, current] of state.keys) {
		if (current.phase === 'waiting-for-lease') {
			effects.push(...current.waiting.map(waiting => refuse(waiting, current.isUncertain)));
			next = replaceKey(next, key, {
				...current, phase: 'idle', waiting: [], isUncertain: false, readBacks: 0, conflicts: 0, usedAt: monotonic,
			});
		}
	}

	return {state: next, effects};
}
