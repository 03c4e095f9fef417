import {assertNever, type MonotonicTime, type WorkerId} from '#core';
import {
	commonFailureShare, ejectionFailureShare, ejectionMilliseconds, healthHalfLifeMilliseconds, maximumEjectedShare, maximumEjectionMilliseconds,
	minimumEndsForEjection, slowStartMilliseconds, slowStartShare, trialTimeoutMilliseconds,
} from './constants.js';
import type {
	HealthMessage, HealthState, WorkerCondition, WorkerHealth,
} from './types.js';

/**
Tracks the condition of each worker: slow start, ejection and trial (outlier detection).

A worker that fails its requests quickly looks less loaded than the others and would attract more requests.
*/
export function receiveHealthMessage(state: HealthState, message: HealthMessage, {monotonic}: Readonly<{monotonic: MonotonicTime}>): HealthState {
	switch (message.kind) {
		case 'joined': {
			return new Map(state).set(message.worker, startActive(monotonic));
		}

		case 'left': {
			const next = new Map(state);
			next.delete(message.worker);
			return next;
		}

		case 'dispatched': {
			const health = state.get(message.worker);
			return health === undefined || health.condition.kind === 'active'
				? state
				: new Map(state).set(message.worker, {...health, condition: {kind: 'trial', startedAt: monotonic, ejections: health.condition.ejections}});
		}

		case 'ended': {
			const health = state.get(message.worker);
			return health === undefined ? state : endRequest(state, health, message, monotonic);
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Share of the worker's slots that counts: 0 during an ejection and its trial, rising to 1 during slow start. */
export function readShare(state: HealthState, worker: WorkerId, monotonic: MonotonicTime): number {
	const condition = state.get(worker)?.condition;
	switch (condition?.kind) {
		case undefined: {
			return 1;
		}

		case 'active': {
			return Math.min(1, Math.max(slowStartShare, (monotonic - condition.since) / slowStartMilliseconds));
		}

		case 'ejected': {
			return monotonic < condition.until ? 0 : slowStartShare;
		}

		case 'trial': {
			return monotonic < condition.startedAt + trialTimeoutMilliseconds ? 0 : slowStartShare;
		}
	}
}

function startActive(monotonic: MonotonicTime): WorkerHealth {
	return {
		condition: {kind: 'active', since: monotonic}, succeeded: 0, failed: 0, countedAt: monotonic,
	};
}

function endRequest(state: HealthState, health: WorkerHealth, {worker, end}: Extract<HealthMessage, {kind: 'ended'}>, monotonic: MonotonicTime): HealthState {
	const {condition} = health;
	switch (condition.kind) {
		case 'active': {
			return end === 'not-started' ? state : countEnd(state, {worker, health: decay(health, monotonic)}, end, monotonic);
		}

		// Requests that were dispatched before the ejection are no evidence of a recovery.
		case 'ejected': {
			return state;
		}

		case 'trial': {
			return new Map(state).set(worker, endTrial(condition.ejections, end, monotonic));
		}
	}
}

function endTrial(ejections: number, end: 'succeeded' | 'failed' | 'not-started', monotonic: MonotonicTime): WorkerHealth {
	switch (end) {
		case 'succeeded': {
			return startActive(monotonic);
		}

		case 'failed': {
			return {...startActive(monotonic), condition: eject(ejections, monotonic)};
		}

		case 'not-started': {
			return {...startActive(monotonic), condition: {kind: 'ejected', until: monotonic + ejectionMilliseconds, ejections}};
		}
	}
}

function eject(ejections: number, monotonic: MonotonicTime): WorkerCondition {
	const duration = Math.min(maximumEjectionMilliseconds, ejectionMilliseconds * (2 ** ejections));
	return {kind: 'ejected', until: monotonic + duration, ejections: ejections + 1};
}

function decay(health: WorkerHealth, monotonic: MonotonicTime): WorkerHealth {
	const factor = 0.5 ** ((monotonic - health.countedAt) / healthHalfLifeMilliseconds);
	return {
		...health, succeeded: health.succeeded * factor, failed: health.failed * factor, countedAt: monotonic,
	};
}

function countEnd(state: HealthState, {worker, health}: Readonly<{worker: WorkerId; health: WorkerHealth}>, end: 'succeeded' | 'failed', monotonic: MonotonicTime): HealthState {
	const counted: WorkerHealth = end === 'failed' ? {...health, failed: health.failed + 1} : {...health, succeeded: health.succeeded + 1};
	const isFailing = end === 'failed'
		&& counted.succeeded + counted.failed >= minimumEndsForEjection
		&& counted.failed / (counted.succeeded + counted.failed) > ejectionFailureShare;
	const next = isFailing && mayEject(state, worker) ? {...counted, condition: eject(0, monotonic)} : counted;
	return new Map(state).set(worker, next);
}

/**
Limits the share of ejected workers, and ejects none if most workers fail, because then the cause is in the requests.

Counts workers rather than requests, because a few failing workers attract most requests and would prevent each other's ejection.
*/
function mayEject(state: HealthState, worker: WorkerId): boolean {
	let ejected = 0;
	let evaluated = 0;
	let failing = 0;
	for (const [other, {condition, succeeded, failed}] of state) {
		if (condition.kind !== 'active') {
			ejected++;
		} else if (other !== worker && succeeded + failed >= 1) {
			evaluated++;
			failing += failed / (succeeded + failed) > ejectionFailureShare ? 1 : 0;
		}
	}

	return ejected + 1 <= state.size * maximumEjectedShare && failing <= evaluated * commonFailureShare;
}
