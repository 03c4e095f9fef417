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

/** A key whose identifiers have all expired is forgotten after this time without use. */
const keyLifeMilliseconds = identifierRetentionMilliseconds + (2 * identifierClockSkewMilliseconds);

/** Groups claims that wait for the same key into one compare-and-swap, one at a time per key. */
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
			const present = state.keys.get(message.key);
			return present === undefined ? {state, effects: []} : startWrite({...state, lease: {kind: 'none'}}, message.key, present, monotonic);
		}

		case 'read': {
			const present = state.keys.get(message.key);
			return present?.phase === 'reading'
				// The claims are written again even if the read shows none of them: a delayed first write then conflicts.
				? startWrite(state, message.key, {...present, version: message.version, book: message.book}, monotonic)
				: {state, effects: []};
		}

		case 'read-failed': {
			return failRead(state, message.key, monotonic);
		}

		case 'lease-granted': {
			return state.lease.kind === 'asked'
				? startWaitingKeys({...state, lease: {kind: 'held', lease: message.lease, grantedAt: state.lease.requestedAt}}, monotonic)
				: {state, effects: []};
		}

		case 'lease-refused': {
			return refuseWaitingKeys({...state, lease: {kind: 'none'}}, monotonic);
		}

		case 'tick': {
			const kept = [...state.keys].filter(([, key]) => key.phase !== 'idle' || monotonic - key.usedAt < keyLifeMilliseconds);
			return {state: kept.length === state.keys.size ? state : {...state, keys: new Map(kept)}, effects: []};
		}

		default: {
			return assertNever(message);
		}
	}
}

function addClaim(state: ClaimsState, waiting: WaitingClaim, monotonic: MonotonicTime): ClaimsStep {
	const key = formatClaimKey(waiting.requestId);
	const present = state.keys.get(key) ?? idleKey;
	if (present.waiting.length >= maximumWaitingClaims) {
		return {state, effects: [refuse(waiting, false)]};
	}

	const next = {...present, waiting: [...present.waiting, waiting], usedAt: monotonic};
	return present.phase === 'idle' ? startWrite(state, key, next, monotonic) : {state: replaceKey(state, key, next), effects: []};
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

/** Answers claims that the book settles already and adds the others to it. */
function resolveClaims(book: ClaimBook, claims: readonly WaitingClaim[], isUncertain: boolean): Resolution {
	const next = new Map(book);
	const written: WaitingClaim[] = [];
	const effects: ClaimsEffect[] = [];
	for (const waiting of claims) {
		const {requestId, claim, from, replyId} = waiting;
		const present = next.get(requestId);
		const isMove = present !== undefined && from !== undefined && present.owner === claim.owner && isSamePlace(present.place, from);
		if (present !== undefined && !isMove) {
			effects.push({kind: 'answer', replyId, result: {kind: 'held', claim: present}});
		} else if (next.size >= maximumClaimsPerKey && present === undefined) {
			effects.push(refuse(waiting, isUncertain));
		} else {
			next.set(requestId, claim);
			written.push(waiting);
		}
	}

	return {book: next, written, effects};
}

/** Writes everything that waits for the key; asks for a lease first where none is fresh enough. */
function startWrite(state: ClaimsState, key: string, present: ClaimKeyState, monotonic: MonotonicTime): ClaimsStep {
	const claims = [...present.inFlight, ...present.waiting];
	const {book, written, effects} = resolveClaims(present.book, claims, present.isUncertain);
	if (written.length === 0) {
		return {
			state: replaceKey(state, key, {
				...present, phase: 'idle', inFlight: [], waiting: [], readBacks: 0, conflicts: 0, isUncertain: false,
			}),
			effects,
		};
	}

	const {lease} = state;
	if (lease.kind !== 'held' || monotonic - lease.grantedAt >= claimLeaseReuseMilliseconds) {
		const waitingKey: ClaimKeyState = {
			...present, phase: 'waiting-for-lease', inFlight: [], waiting: written,
		};
		const isAsked = lease.kind === 'asked';
		return {
			state: replaceKey(isAsked ? state : {...state, lease: {kind: 'asked', requestedAt: monotonic}}, key, waitingKey),
			effects: isAsked ? effects : [...effects, {kind: 'grant-lease'}],
		};
	}

	return {
		state: replaceKey(state, key, {
			...present, phase: 'writing', inFlight: written, waiting: [],
		}),
		effects: [...effects, {
			kind: 'write', key, book, expectedVersion: present.version, lease: lease.lease, added: written.length,
		}],
	};
}

function finishWrite(state: ClaimsState, {key, version}: Readonly<{key: string; version: number}>, monotonic: MonotonicTime): ClaimsStep {
	const present = state.keys.get(key);
	if (present?.phase !== 'writing') {
		return {state, effects: []};
	}

	const book = new Map(present.book);
	const answers = present.inFlight.map(({requestId, claim, replyId}): ClaimsEffect => {
		book.set(requestId, claim);
		return {kind: 'answer', replyId, result: {kind: 'held', claim}};
	});
	return continueKey(state, key, {...present, book, version}, {effects: answers, monotonic});
}

function mergeConflict(state: ClaimsState, {key, version, book}: Extract<ClaimsMessage, {kind: 'conflict'}>, monotonic: MonotonicTime): ClaimsStep {
	const present = state.keys.get(key);
	if (present?.phase !== 'writing') {
		return {state, effects: []};
	}

	const merged = {
		...present, version, book, conflicts: present.conflicts + 1,
	};
	return merged.conflicts > maximumClaimConflicts
		? refuseInFlight(state, key, merged, monotonic)
		: startWrite(state, key, merged, monotonic);
}

function failWrite(state: ClaimsState, {key, effect}: Extract<ClaimsMessage, {kind: 'write-failed'}>, monotonic: MonotonicTime): ClaimsStep {
	const present = state.keys.get(key);
	if (present?.phase !== 'writing') {
		return {state, effects: []};
	}

	switch (effect) {
		case 'not-applied': {
			return refuseInFlight(state, key, present, monotonic);
		}

		case 'perhaps-applied': {
			return {
				state: replaceKey(state, key, {...present, phase: 'reading', isUncertain: true}),
				effects: [{kind: 'read', key, attempt: present.readBacks}],
			};
		}
	}
}

function failRead(state: ClaimsState, key: string, monotonic: MonotonicTime): ClaimsStep {
	const present = state.keys.get(key);
	if (present?.phase !== 'reading') {
		return {state, effects: []};
	}

	const readBacks = present.readBacks + 1;
	return readBacks >= maximumReadBacks
		? refuseInFlight(state, key, present, monotonic)
		: {state: replaceKey(state, key, {...present, readBacks}), effects: [{kind: 'read', key, attempt: readBacks}]};
}

function refuseInFlight(state: ClaimsState, key: string, present: ClaimKeyState, monotonic: MonotonicTime): ClaimsStep {
	const effects = present.inFlight.map(waiting => refuse(waiting, present.isUncertain));
	return continueKey(state, key, present, {effects, monotonic});
}

/** Ends a batch and starts the next one where claims wait. */
function continueKey(state: ClaimsState, key: string, present: ClaimKeyState, {effects, monotonic}: Readonly<{effects: readonly ClaimsEffect[]; monotonic: MonotonicTime}>): ClaimsStep {
	const next: ClaimKeyState = {
		...present, phase: 'idle', inFlight: [], readBacks: 0, conflicts: 0, isUncertain: false, usedAt: monotonic,
	};
	const step = startWrite(state, key, next, monotonic);
	return {state: step.state, effects: [...effects, ...step.effects]};
}

function startWaitingKeys(state: ClaimsState, monotonic: MonotonicTime): ClaimsStep {
	let next = state;
	const effects: ClaimsEffect[] = [];
	for (const [key, present] of state.keys) {
		if (present.phase === 'waiting-for-lease') {
			const step = startWrite(next, key, present, monotonic);
			next = step.state;
			effects.push(...step.effects);
		}
	}

	return {state: next, effects};
}

function refuseWaitingKeys(state: ClaimsState, monotonic: MonotonicTime): ClaimsStep {
	let next = state;
	const effects: ClaimsEffect[] = [];
	for (const [key, present] of state.keys) {
		if (present.phase === 'waiting-for-lease') {
			effects.push(...present.waiting.map(waiting => refuse(waiting, present.isUncertain)));
			next = replaceKey(next, key, {
				...present, phase: 'idle', waiting: [], isUncertain: false, readBacks: 0, conflicts: 0, usedAt: monotonic,
			});
		}
	}

	return {state: next, effects};
}
