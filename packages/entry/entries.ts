import {
	assertNever, type EntryId, type Milliseconds, type MonotonicTime, type Step,
} from '#core';
import type {CurrentTime} from '#kernel';
import {
	peerExchangeIntervalMilliseconds, peerReconnectMaximumMilliseconds, peerReconnectMinimumMilliseconds, type EntryAddress, type EntryRecord, type ZoneSummary,
} from '#protocol';
import type {RpcPeer} from '#transport';

/** An open connection to another entry, and the state that the entry last reported. */
export type EntryLink = Readonly<{
	peer: RpcPeer;
	/** The entry that opened the connection. */
	dialledBy: EntryId;
	configurationRevision: number;
	summary: ZoneSummary | undefined;
}>;

type RedialBackoff = Readonly<{failures: number; notBefore: MonotonicTime}>;

/** The other entries that this entry knows, and its connections to them. */
export type EntriesState = Readonly<{
	/** Undefined until this entry is listening. */
	self: EntryRecord | undefined;
	/** Addresses from the settings. */
	seeds: readonly string[];
	/** Known entries, as registered in the store or reported by an entry. */
	records: ReadonlyMap<EntryId, EntryRecord>;
	/** Entries that are registered in the store; undefined until the store has been read. */
	registered: ReadonlySet<EntryId> | undefined;
	links: ReadonlyMap<EntryId, EntryLink>;
	dialling: ReadonlySet<string>;
	/** The entry that answered at each dialled address. A seed may be a host name and so differ from the address that its entry advertises. */
	aliases: ReadonlyMap<string, EntryId>;
	redialBackoffs: ReadonlyMap<string, RedialBackoff>;
}>;

export type EntriesMessage =
	| Readonly<{kind: 'listening'; self: EntryRecord}>
	| Readonly<{kind: 'listed'; records: readonly EntryRecord[]}>
	| Readonly<{kind: 'registered'; record: EntryRecord}>
	| Readonly<{kind: 'deregistered'; entry: EntryId}>
	/** Another entry reported the entries that it knows. */
	| Readonly<{kind: 'discovered'; records: readonly EntryRecord[]}>
	| Readonly<{kind: 'dial-failed'; address: string}>
	/** The dialled address belongs to this entry. */
	| Readonly<{kind: 'dialled-self'; address: string}>
	| Readonly<{kind: 'exchanged'; record: EntryRecord; link: EntryLink; dialledAddress: string | undefined}>
	| Readonly<{kind: 'disconnected'; peer: RpcPeer}>
	| Readonly<{kind: 'tick'}>;

export type EntriesEffect =
	| Readonly<{kind: 'dial'; address: string}>
	| Readonly<{kind: 'exchange'; peer: RpcPeer; dialledBy: EntryId}>
	| Readonly<{kind: 'close'; peer: RpcPeer; reason: string}>
	| Readonly<{kind: 'schedule-tick'; delay: Milliseconds}>;

type EntriesStep = Step<EntriesState, EntriesEffect>;

export function createEntriesState(seeds: readonly string[]): EntriesState {
	return {
		self: undefined, seeds, records: new Map(), registered: undefined, links: new Map(), dialling: new Set(), aliases: new Map(), redialBackoffs: new Map(),
	};
}

/** Decides which entries are known, and which connections to them are opened and retained. */
export function receiveEntriesMessage(state: EntriesState, message: EntriesMessage, {monotonic}: CurrentTime): EntriesStep {
	switch (message.kind) {
		case 'listening': {
			return tick({...state, self: message.self}, monotonic);
		}

		case 'listed': {
			// A connected entry is retained, because its lease may have expired only because of a store outage.
			const linked = [...state.records.values()].filter(({entry}) => state.links.has(entry));
			const registered = new Set(message.records.map(({entry}) => entry));
			return withoutEffects(addRecords({...state, records: new Map(), registered}, [...linked, ...message.records]));
		}

		case 'registered': {
			return withoutEffects(addRecords({...state, registered: new Set(state.registered).add(message.record.entry)}, [message.record]));
		}

		case 'deregistered': {
			return withoutEffects(removeUnknown({...state, registered: without(state.registered ?? new Set(), message.entry)}, message.entry));
		}

		case 'discovered': {
			// A record from the store or from the entry itself is never older than one from a third entry.
			return withoutEffects(addRecords(state, message.records.filter(({entry}) => !state.records.has(entry))));
		}

		case 'dial-failed': {
			return withoutEffects(backOffRedial(state, message.address, monotonic));
		}

		case 'dialled-self': {
			return withoutEffects({...state, dialling: without(state.dialling, message.address), seeds: state.seeds.filter(seed => seed !== message.address)});
		}

		case 'exchanged': {
			return addLink(state, message);
		}

		case 'disconnected': {
			const closed = [...state.links].find(([, link]) => link.peer === message.peer);
			return closed === undefined ? withoutEffects(state) : removeLink(state, closed[0]);
		}

		case 'tick': {
			return tick(state, monotonic);
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Lists the addresses of the entries in this entry's zone, including itself, as sent to agents. */
export function listZoneEntries({self, records}: EntriesState): readonly EntryAddress[] {
	if (self === undefined) {
		return [];
	}

	return [self, ...records.values()]
		.filter(({zone}) => zone === self.zone)
		.map(({entry, peerAddress}) => ({entry, address: peerAddress}));
}

function withoutEffects(state: EntriesState): EntriesStep {
	return {state, effects: []};
}

function without<Value>(values: ReadonlySet<Value>, value: Value): ReadonlySet<Value> {
	const rest = new Set(values);
	rest.delete(value);
	return rest;
}

function addRecords(state: EntriesState, added: readonly EntryRecord[]): EntriesState {
	const records = new Map(state.records);
	for (const record of added) {
		if (record.entry !== state.self?.entry) {
			records.set(record.entry, record);
		}
	}

	return {...state, records};
}

/** Two entries share one connection. If both dialled, both sides retain the connection that the entry with the lower name opened. */
function addLink(state: EntriesState, {record, link, dialledAddress}: Extract<EntriesMessage, {kind: 'exchanged'}>): EntriesStep {
	const next = addRecords(dialledAddress === undefined ? state : recordAnswer(state, dialledAddress, record.entry), [record]);
	const current = state.links.get(record.entry);
	if (current !== undefined && current.peer !== link.peer && current.peer.isOpen() && current.dialledBy < link.dialledBy) {
		return {state: next, effects: [{kind: 'close', peer: link.peer, reason: 'second connection between two entries'}]};
	}

	return {
		state: {...next, links: new Map(state.links).set(record.entry, link)},
		effects: current === undefined || current.peer === link.peer
			? []
			: [{kind: 'close', peer: current.peer, reason: 'replaced by another connection between the same entries'}],
	};
}

function recordAnswer(state: EntriesState, address: string, entry: EntryId): EntriesState {
	const redialBackoffs = new Map(state.redialBackoffs);
	redialBackoffs.delete(address);
	return {
		...state, redialBackoffs, dialling: without(state.dialling, address), aliases: new Map(state.aliases).set(address, entry),
	};
}

function removeLink(state: EntriesState, entry: EntryId): EntriesStep {
	const links = new Map(state.links);
	links.delete(entry);
	return withoutEffects(removeUnknown({...state, links}, entry));
}

/** Removes an entry that is neither registered nor connected. Until the store has been read, no entry is removed. */
function removeUnknown(state: EntriesState, entry: EntryId): EntriesState {
	if (state.links.has(entry) || state.registered === undefined || state.registered.has(entry)) {
		return state;
	}

	const records = new Map(state.records);
	records.delete(entry);
	return {...state, records};
}

function backOffRedial(state: EntriesState, address: string, monotonic: MonotonicTime): EntriesState {
	const failures = (state.redialBackoffs.get(address)?.failures ?? 0) + 1;
	const delay = Math.min(peerReconnectMaximumMilliseconds, peerReconnectMinimumMilliseconds * (2 ** (failures - 1)));
	return {
		...state,
		dialling: without(state.dialling, address),
		redialBackoffs: new Map(state.redialBackoffs).set(address, {failures, notBefore: monotonic + delay}),
	};
}

function tick(state: EntriesState, monotonic: MonotonicTime): EntriesStep {
	const {self} = state;
	if (self === undefined) {
		return withoutEffects(state);
	}

	const linked = new Set([...state.links.keys()].map(entry => state.records.get(entry)?.peerAddress));
	const candidates = new Set([...state.seeds, ...[...state.records.values()].map(({peerAddress}) => peerAddress)]);
	const addresses = [...candidates].filter(address => address !== self.peerAddress
		&& !linked.has(address)
		&& !isLinkedByAlias(state, address)
		&& !state.dialling.has(address)
		&& (state.redialBackoffs.get(address)?.notBefore ?? monotonic) <= monotonic);
	return {
		state: {...state, dialling: new Set([...state.dialling, ...addresses])},
		effects: [
			...addresses.map(address => ({kind: 'dial' as const, address})),
			...[...state.links.values()]
				.filter(({dialledBy}) => dialledBy === self.entry)
				.map(({peer, dialledBy}) => ({kind: 'exchange' as const, peer, dialledBy})),
			{kind: 'schedule-tick', delay: peerExchangeIntervalMilliseconds},
		],
	};
}

function isLinkedByAlias({aliases, links}: EntriesState, address: string): boolean {
	const entry = aliases.get(address);
	return entry !== undefined && links.has(entry);
}
