/** Which connections of a listener are refused or closed when its bounds are reached. */
import type {MonotonicTime} from '#core';

/** What a connection is doing. */
export type ConnectionPhase =
	/** Waits for a request. */
	| 'idle'
	/** A part of a request has arrived. */
	| 'receiving'
	/** A whole request is being handled. Closing the connection does not end that. */
	| 'handling'
	/** The answer waits to be read. */
	| 'answering'
	/** It was refused, and its client may still read why. */
	| 'closing';

/** What a connection holds of the listener's memory. */
export type ConnectionUse = Readonly<{
	connection: number;
	/** Team of the request, if known; all others share one part. */
	team: string | undefined;
	phase: ConnectionPhase;
	/** When the phase began. */
	since: MonotonicTime;
	/** Bytes received and kept, and bytes of an answer that is not read. */
	bytes: number;
	/** Bytes that closing the connection frees. */
	releasableBytes: number;
	/** Whether a request of the connection was answered. */
	hasBeenServed: boolean;
}>;

export type ReceivingBudget = Readonly<{
	/** Bytes of all connections of the listener. */
	totalBytes: number;
	/** Bytes of the connections of one team. */
	teamBytes: number;
}>;

export type Release = Readonly<{connection: number; reason: 'receive-budget-exceeded' | 'team-budget-exceeded'}>;

/** Share of the budget down to which connections are released, so that the next chunk does not exceed it again. */
const releasedShare = 7 / 8;

/**
Chooses the connections that have to free their memory, in this order: those that hold most for longest, and connections whose request is being handled after all others. Addresses crowds of clients whose bodies never end or whose answers are not read.

@returns Nothing while all bounds hold.
*/
export function chooseReleases(uses: readonly ConnectionUse[], {totalBytes, teamBytes}: ReceivingBudget, now: MonotonicTime): readonly Release[] {
	const candidates = uses.filter(({releasableBytes}) => releasableBytes > 0).toSorted((first, second) => compareForRelease(first, second, now));
	// Where one team may use all, there are no teams.
	const teams = teamBytes < totalBytes ? sumByTeam(uses) : [];
	const releases: Release[] = [];
	const released = new Set<number>();
	for (const [team, bytes] of teams) {
		let excess = bytes > teamBytes ? bytes - (teamBytes * releasedShare) : 0;
		for (const candidate of candidates) {
			if (excess > 0 && candidate.team === team) {
				excess -= candidate.releasableBytes;
				released.add(candidate.connection);
				releases.push({connection: candidate.connection, reason: 'team-budget-exceeded'});
			}
		}
	}

	const left = uses.reduce((sum, {connection, bytes, releasableBytes}) => sum + bytes - (released.has(connection) ? releasableBytes : 0), 0);
	let excess = left > totalBytes ? left - (totalBytes * releasedShare) : 0;
	for (const {connection, releasableBytes} of candidates) {
		if (excess > 0 && !released.has(connection)) {
			excess -= releasableBytes;
			releases.push({connection, reason: 'receive-budget-exceeded'});
		}
	}

	return releases;
}

function sumByTeam(uses: readonly ConnectionUse[]): ReadonlyMap<string | undefined, number> {
	const sums = new Map<string | undefined, number>();
	for (const {team, bytes} of uses) {
		sums.set(team, (sums.get(team) ?? 0) + bytes);
	}

	return sums;
}

function compareForRelease(first: ConnectionUse, second: ConnectionUse, now: MonotonicTime): number {
	const handledLast = Number(first.phase === 'handling') - Number(second.phase === 'handling');
	return handledLast === 0 ? weigh(second, now) - weigh(first, now) : handledLast;
}

/** Memory multiplied by the time for which it is held; both count, so that a large body that has just arrived does not go first. */
function weigh({releasableBytes, since}: ConnectionUse, now: MonotonicTime): number {
	return releasableBytes * (now - since + 1);
}

/**
Chooses the connection that is closed in favour of a new one when the listener has as many as it may. Addresses clients that connect and send nothing, and clients that send too slowly.

@returns Undefined if the requests of all connections are being handled; the new connection is then refused.
*/
export function chooseReplacement(uses: readonly ConnectionUse[]): number | undefined {
	let chosen: ConnectionUse | undefined;
	for (const use of uses) {
		if (rankForReplacement(use) !== undefined && (chosen === undefined || isReplacedBefore(use, chosen))) {
			chosen = use;
		}
	}

	return chosen?.connection;
}

function isReplacedBefore(first: ConnectionUse, second: ConnectionUse): boolean {
	const difference = (rankForReplacement(first) ?? Infinity) - (rankForReplacement(second) ?? Infinity);
	return difference === 0 ? first.since < second.since : difference < 0;
}

/** Lower ranks are closed first, and within a rank the connection whose phase began first. */
function rankForReplacement({phase, hasBeenServed}: ConnectionUse): number | undefined {
	switch (phase) {
		case 'closing': {
			return 0;
		}

		case 'idle': {
			return hasBeenServed ? 2 : 1;
		}

		case 'receiving':
		case 'answering': {
			return 3;
		}

		case 'handling': {
			return undefined;
		}
	}
}
