import {
	assertNever, hashText, type EntryId, type Milliseconds, type RandomSource, type Step, type WorkerId,
} from '#core';
import type {EntryAddress} from '#protocol';
import type {RpcPeer} from '#transport';
import {
	maximumDialFailures, maximumEntries, redialBaseMilliseconds, redialMaximumMilliseconds,
} from './constants.js';

/** Connection to one entry, open or to be opened. */
export type EntryConnection = Readonly<{
	/** Whether the entry is listed in the settings; such entries are never removed. */
	isSeed: boolean;
	/** Connection attempts that failed since the last successful announcement. */
	failures: number;
	phase:
		| Readonly<{kind: 'waiting'}>
		| Readonly<{kind: 'dialling'}>
		| Readonly<{kind: 'announcing'; peer: RpcPeer}>
		| Readonly<{kind: 'announced'; peer: RpcPeer; entry: EntryId}>;
}>;

export type EntriesState = Readonly<{
	worker: WorkerId;
	connections: ReadonlyMap<string, EntryConnection>;
	isLeaving: boolean;
	isStopped: boolean;
}>;

export type EntriesMessage =
	| Readonly<{kind: 'start'}>
	| Readonly<{kind: 'opened'; address: string; peer: RpcPeer}>
	| Readonly<{kind: 'announced'; address: string; peer: RpcPeer; entry: EntryId}>
	| Readonly<{kind: 'dial-failed'; address: string}>
	| Readonly<{kind: 'closed'; address: string; peer: RpcPeer}>
	| Readonly<{kind: 'redial-due'; address: string}>
	| Readonly<{kind: 'report-due'; address: string; peer: RpcPeer}>
	| Readonly<{kind: 'entries-discovered'; entries: readonly EntryAddress[]}>
	| Readonly<{kind: 'leave'}>
	| Readonly<{kind: 'stop'}>;

export type EntriesEffect =
	| Readonly<{kind: 'dial'; address: string}>
	| Readonly<{kind: 'schedule-redial'; address: string; delay: Milliseconds}>
	| Readonly<{kind: 'announce'; address: string; peer: RpcPeer}>
	| Readonly<{kind: 'schedule-report'; address: string; peer: RpcPeer}>
	| Readonly<{kind: 'report'; peer: RpcPeer}>
	| Readonly<{kind: 'announce-leaving'; peer: RpcPeer}>
	| Readonly<{kind: 'close'; peer: RpcPeer; reason: string}>;

type EntriesStep = Step<EntriesState, EntriesEffect>;

export function createEntriesState(worker: WorkerId, seeds: readonly string[]): EntriesState {
	return {
		worker,
		connections: new Map(seeds.map(address => [address, {isSeed: true, failures: 0, phase: {kind: 'dialling'}}])),
		isLeaving: false,
		isStopped: false,
	};
}

/** Decides which entries the agent dials, when it reconnects and when it reports. */
export function receiveEntriesMessage(state: EntriesState, message: EntriesMessage, random: RandomSource): EntriesStep {
	if (state.isStopped) {
		return {state, effects: message.kind === 'opened' ? [{kind: 'close', peer: message.peer, reason: 'the agent is stopping'}] : []};
	}

	switch (message.kind) {
		case 'start': {
			return {state, effects: [...state.connections.keys()].map(address => ({kind: 'dial', address}))};
		}

		case 'opened': {
			const {address, peer} = message;
			return changePhase(state, address, {kind: 'announcing', peer}, [{kind: 'announce', address, peer}]);
		}

		case 'announced': {
			return completeAnnouncement(state, message);
		}

		case 'dial-failed': {
			return scheduleRedial(state, message.address, random);
		}

		case 'closed': {
			return peerOf(state, message.address) === message.peer ? scheduleRedial(state, message.address, random) : {state, effects: []};
		}

		case 'redial-due': {
			return state.connections.get(message.address)?.phase.kind === 'waiting'
				? changePhase(state, message.address, {kind: 'dialling'}, [{kind: 'dial', address: message.address}])
				: {state, effects: []};
		}

		case 'report-due': {
			const {address, peer} = message;
			return peerOf(state, address) === peer
				? {state, effects: [{kind: 'report', peer}, {kind: 'schedule-report', address, peer}]}
				: {state, effects: []};
		}

		case 'entries-discovered': {
			return dialDiscovered(state, message.entries);
		}

		case 'leave': {
			return {state: {...state, isLeaving: true}, effects: listPeers(state).map(peer => ({kind: 'announce-leaving', peer}))};
		}

		case 'stop': {
			return {state: {...state, isStopped: true}, effects: listPeers(state).map(peer => ({kind: 'close', peer, reason: 'the agent is stopping'}))};
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Open connections, whether the announcement was acknowledged or not. */
export function listPeers({connections}: EntriesState): readonly RpcPeer[] {
	return [...connections.values()].flatMap(({phase}) => 'peer' in phase ? [phase.peer] : []);
}

function peerOf({connections}: EntriesState, address: string): RpcPeer | undefined {
	const phase = connections.get(address)?.phase;
	return phase !== undefined && 'peer' in phase ? phase.peer : undefined;
}

function changePhase(state: EntriesState, address: string, phase: EntryConnection['phase'], effects: readonly EntriesEffect[]): EntriesStep {
	const known = state.connections.get(address) ?? {isSeed: false, failures: 0};
	return {state: {...state, connections: new Map(state.connections).set(address, {...known, phase})}, effects};
}

/** Starts the periodic reports. The connection to a discovered address is closed if its entry is already connected under another one, so that the entry does not count the agent twice. */
function completeAnnouncement(state: EntriesState, {address, peer, entry}: Extract<EntriesMessage, {kind: 'announced'}>): EntriesStep {
	const known = state.connections.get(address);
	if (known === undefined || peerOf(state, address) !== peer) {
		return {state, effects: []};
	}

	const isDuplicate = !known.isSeed && [...state.connections].some(([other, {phase}]) => other !== address && phase.kind === 'announced' && phase.entry === entry);
	if (isDuplicate) {
		const connections = new Map(state.connections);
		connections.delete(address);
		return {state: {...state, connections}, effects: [{kind: 'close', peer, reason: 'already connected to this entry'}]};
	}

	const connections = new Map(state.connections).set(address, {...known, failures: 0, phase: {kind: 'announced', peer, entry}});
	return {
		state: {...state, connections},
		effects: [{kind: 'schedule-report', address, peer}, ...(state.isLeaving ? [{kind: 'announce-leaving', peer} as const] : [])],
	};
}

/** Schedules a redial with exponential backoff and full jitter, so that the agents of a recovered zone do not all dial at once. Removes a discovered entry after `maximumDialFailures`. */
function scheduleRedial(state: EntriesState, address: string, random: RandomSource): EntriesStep {
	const known = state.connections.get(address);
	if (known === undefined) {
		return {state, effects: []};
	}

	const connections = new Map(state.connections);
	if (!known.isSeed && known.failures + 1 >= maximumDialFailures) {
		connections.delete(address);
		return {state: {...state, connections}, effects: []};
	}

	const limit = Math.min(redialMaximumMilliseconds, redialBaseMilliseconds * (2 ** known.failures));
	connections.set(address, {...known, failures: known.failures + 1, phase: {kind: 'waiting'}});
	return {state: {...state, connections}, effects: [{kind: 'schedule-redial', address, delay: random() * limit}]};
}

/** Dials discovered entries up to the maximum number of connections. Each worker has its own order of preference, which distributes the agents over the entries. */
function dialDiscovered(state: EntriesState, entries: readonly EntryAddress[]): EntriesStep {
	const connected = new Set([...state.connections.values()].flatMap(({phase}) => phase.kind === 'announced' ? [phase.entry] : []));
	const preferenceOf = ({entry}: EntryAddress) => hashText(`${state.worker} ${entry}`);
	const chosen = entries
		.filter(({entry, address}) => !connected.has(entry) && !state.connections.has(address))
		.toSorted((first, second) => preferenceOf(first) - preferenceOf(second))
		.slice(0, Math.max(0, maximumEntries - state.connections.size));
	const connections = new Map(state.connections);
	for (const {address} of chosen) {
		connections.set(address, {isSeed: false, failures: 0, phase: {kind: 'dialling'}});
	}

	return {state: {...state, connections}, effects: chosen.map(({address}) => ({kind: 'dial', address}))};
}
