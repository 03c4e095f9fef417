import {
	assertNever, type EntryId, type Milliseconds, type MonotonicTime, type Step,
} from '#core';
import type {Present} from '#kernel';
import {
	peerExchangeIntervalMilliseconds, peerReconnectMaximumMilliseconds, peerReconnectMinimumMilliseconds, type EntryAddress, type EntryRecord, type ZoneSummary,
} from '#protocol';
import type {RpcPeer} from '#transport';

/** An open connection to another entry, and what it last told. */
export type EntryLink = Readonly<{
	peer: RpcPeer;
	/** The entry that opened the connection. */
	dialledBy: EntryId;
	configurationRevision: number;
	summary: ZoneSummary | undefined;
}>;

type Redial = Readonly<{failures: number; notBefore: MonotonicTime}>;

/** Entries that this one knows and is connected to. */
export type EntriesState = Readonly<{
	/** Undefined until this entry listens. */
	self: EntryRecord | undefined;
	/** Addresses from the settings. */
	seeds: readonly string[];
	/** Other entries, from the store or from other entries. */
	records: ReadonlyMap<EntryId, EntryRecord>;
	/** Entries that are registered in the store; undefined until it was read. */
	registered: ReadonlySet<EntryId> | undefined;
	links: ReadonlyMap<EntryId, EntryLink>;
	dialling: ReadonlySet<string>;
	/** Entries that answered at an address that is not the one they advertise, such as a host name among the seeds. */
	aliases: ReadonlyMap<string, EntryId>;
	redials: ReadonlyMap<string, Redial>;
}>;

export type EntriesMessage =
	| Readonly<{kind: 'listening'; self: EntryRecord}>
	| Readonly<{kind: 'listed'; records: readonly EntryRecord[]}>
	| Readonly<{kind: 'registered'; record: EntryRecord}>
	| Readonly<{kind: 'deregistered'; entry: EntryId}>
	/** Another entry named entries that it knows. */
	| Readonly<{kind: 'learnt'; records: readonly EntryRecord[]}>
	| Readonly<{kind: 'dial-failed'; address: string}>
	/** The dialled address belongs to this entry itself. */
	| Readonly<{kind: 'dialled-self'; address: string}>
	| Readonly<{kind: 'heard'; record: EntryRecord; link: EntryLink; dialledAddress: string | undefined}>
	| Readonly<{kind: 'lost'; peer: RpcPeer}>
	| Readonly<{kind: 'tick'}>;

export type EntriesEffect =
	| Readonly<{kind: 'dial'; address: string}>
	| Readonly<{kind: 'exchange'; peer: RpcPeer; dialledBy: EntryId}>
	| Readonly<{kind: 'close'; peer: RpcPeer; reason: string}>
	| Readonly<{kind: 'schedule-tick'; delay: Milliseconds}>;

type EntriesStep = Step<EntriesState, EntriesEffect>;

export function createEntriesState(seeds: readonly string[]): EntriesState {
	return {
		self: undefined, seeds, records: new Map(), registered: undefined, links: new Map(), dialling: new Set(), aliases: new Map(), redials: new Map(),
	};
}

/** Decides which entries are known and which connections between entries are opened and kept. */
export function receiveEntriesMessage(state: EntriesState, message: EntriesMessage, {monotonic}: Present): EntriesStep {
	switch (message.kind) {
		case 'listening': {
			return tick({...state, self: message.self}, monotonic);
		}

		case 'listed': {
			// A connected entry stays known, as it may only have lost its lease during an outage.
			const linked = [...state.records.values()].filter(({entry}) => state.links.has(entry));
			const registered = new Set(message.records.map(({entry}) => entry));
			return unchanged(addRecords({...state, records: new Map(), registered}, [...linked, ...message.records]));
		}

		case 'registered': {
			return unchanged(addRecords({...state, registered: new Set(state.registered).add(message.record.entry)}, [message.record]));
		}

		case 'deregistered': {
			return unchanged(forgetGone({...state, registered: without(state.registered ?? new Set(), message.entry)}, message.entry));
		}

		case 'learnt': {
			// What the store or the entry itself says is never older than what a third entry says.
			return unchanged(addRecords(state, message.records.filter(({entry}) => !state.records.has(entry))));
		}

		case 'dial-failed': {
			return unchanged(delayRedial(state, message.address, monotonic));
		}

		case 'dialled-self': {
			return unchanged({...state, dialling: without(state.dialling, message.address), seeds: state.seeds.filter(seed => seed !== message.address)});
		}

		case 'heard': {
			return hear(state, message);
		}

		case 'lost': {
			const lost = [...state.links].find(([, link]) => link.peer === message.peer);
			return lost === undefined ? unchanged(state) : loseLink(state, lost[0]);
		}

		case 'tick': {
			return tick(state, monotonic);
		}

		default: {
			return assertNever(message);
		}
	}
}

/** Entries of this entry's zone, itself included, as agents are told. */
export function listZoneEntries({self, records}: EntriesState): readonly EntryAddress[] {
	if (self === undefined) {
		return [];
	}

	return [self, ...records.values()]
		.filter(({zone}) => zone === self.zone)
		.map(({entry, peerAddress}) => ({entry, address: peerAddress}));
}

function unchanged(state: EntriesState): EntriesStep {
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

/** Between entries of two zones there is one connection; both sides keep the one that the lower name opened. */
function hear(state: EntriesState, {record, link, dialledAddress}: Extract<EntriesMessage, {kind: 'heard'}>): EntriesStep {
	const known = addRecords(dialledAddress === undefined ? state : noteAnswer(state, dialledAddress, record.entry), [record]);
	const present = state.links.get(record.entry);
	if (present !== undefined && present.peer !== link.peer && present.peer.isOpen() && present.dialledBy < link.dialledBy) {
		return {state: known, effects: [{kind: 'close', peer: link.peer, reason: 'second connection between two entries'}]};
	}

	return {
		state: {...known, links: new Map(state.links).set(record.entry, link)},
		effects: present === undefined || present.peer === link.peer
			? []
			: [{kind: 'close', peer: present.peer, reason: 'replaced by another connection between the same entries'}],
	};
}

function noteAnswer(state: EntriesState, address: string, entry: EntryId): EntriesState {
	const redials = new Map(state.redials);
	redials.delete(address);
	return {
		...state, redials, dialling: without(state.dialling, address), aliases: new Map(state.aliases).set(address, entry),
	};
}

function loseLink(state: EntriesState, entry: EntryId): EntriesStep {
	const links = new Map(state.links);
	links.delete(entry);
	return unchanged(forgetGone({...state, links}, entry));
}

/** An entry that is neither registered nor connected is gone. While the store was not read, that is not known. */
function forgetGone(state: EntriesState, entry: EntryId): EntriesState {
	if (state.links.has(entry) || state.registered === undefined || state.registered.has(entry)) {
		return state;
	}

	const records = new Map(state.records);
	records.delete(entry);
	return {...state, records};
}

function delayRedial(state: EntriesState, address: string, monotonic: MonotonicTime): EntriesState {
	const failures = (state.redials.get(address)?.failures ?? 0) + 1;
	const delay = Math.min(peerReconnectMaximumMilliseconds, peerReconnectMinimumMilliseconds * (2 ** (failures - 1)));
	return {
		...state,
		dialling: without(state.dialling, address),
		redials: new Map(state.redials).set(address, {failures, notBefore: monotonic + delay}),
	};
}

function tick(state: EntriesState, monotonic: MonotonicTime): EntriesStep {
	const {self} = state;
	if (self === undefined) {
		return unchanged(state);
	}

	const linked = new Set([...state.links.keys()].map(entry => state.records.get(entry)?.peerAddress));
	const wanted = new Set([...state.seeds, ...[...state.records.values()].map(({peerAddress}) => peerAddress)]);
	const addresses = [...wanted].filter(address => address !== self.peerAddress
		&& !linked.has(address)
		&& !isLinkedByAlias(state, address)
		&& !state.dialling.has(address)
		&& (state.redials.get(address)?.notBefore ?? monotonic) <= monotonic);
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
