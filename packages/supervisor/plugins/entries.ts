import type {EntryId, MonotonicTime} from '#core';
import {createServiceKey} from '#kernel';
import type {WorkerIncarnation} from '#jobs';
import type {SchedulerPlace} from '#protocol';
import {chooseEntries, describeWorker} from '#supervision';
import {dialPeer, withPort, type RpcPeer} from '#transport';
import {
	idleRenewalIntervalMilliseconds, maximumDialFailures, redialMilliseconds, renewalIntervalMilliseconds, renewalTimeoutMilliseconds,
} from '../constants.js';
import {supervisorPlugins} from '../plugins.js';
import {entrySourcePort} from '../ports.js';
import type {SupervisorContext} from '../types.js';
import {supervisionService} from './supervision.js';

/** Connections to the entries, and the renewals over them. */
export type Entries = Readonly<{
	/** Tells the scheduling entry at once what changed. */
	renewSoon(): void;
	sayLeft(life: WorkerIncarnation): void;
	/** An entry said who schedules. */
	follow(scheduler: SchedulerPlace): void;
}>;

export const entriesService = createServiceKey<Entries>('entries');

type Connection = {
	readonly address: string;
	readonly peer: RpcPeer;
	readonly entry: EntryId;
	isScheduler: boolean;
	isRenewing: boolean;
	lastRenewalAt: MonotonicTime;
	sentRevision: number;
};

supervisorPlugins.register({
	kind: 'task',
	name: 'entries',
	start(context) {
		const entries = createEntries(context);
		context.services.provide(entriesService, entries);
		entries.begin();
		return entries.end;
	},
});

function createEntries(context: SupervisorContext): Entries & Readonly<{begin(): void; end(): void}> {
	const {services, clock, settings, counters} = context;
	const log = context.log.part('entries');
	const [peerPort = 0] = settings['peer-ports'];
	const seeds = withPort(settings.seeds, peerPort);
	const connections = new Map<string, Connection>();
	/** Addresses to connect to, with the failures in a row. */
	const wanted = new Map<string, number>(seeds.map(address => [address, 0]));
	const dialling = new Set<string>();
	let scheduler: SchedulerPlace | undefined;
	let left: WorkerIncarnation | undefined;
	let isStopped = false;
	let lastLookupAt = -Infinity;

	const learn = (addresses: readonly string[]) => {
		for (const address of addresses) {
			if (!wanted.has(address)) {
				wanted.set(address, 0);
			}
		}
	};

	const renew = async (connection: Connection) => {
		if (connection.isRenewing || !connection.peer.isOpen()) {
			return;
		}

		connection.isRenewing = true;
		const askedAt = clock.monotonic();
		connection.lastRenewalAt = askedAt;
		const supervision = services.use(supervisionService);
		const state = supervision.read();
		const snapshot = connection.isScheduler ? describeWorker(state, askedAt) : undefined;
		connection.sentRevision = state.revision;
		const saidLeft = connection.isScheduler ? left : undefined;
		const reply = await connection.peer.call('worker.renew', {
			agent: settings.agent, epoch: state.epoch, ...(snapshot === undefined ? {} : {snapshot}), ...(saidLeft === undefined ? {} : {left: saidLeft}),
		}, renewalTimeoutMilliseconds);
		connection.isRenewing = false;
		if (reply.kind === 'failed') {
			counters.countRetry('renewal');
			connection.peer.close(`renewal failed: ${reply.message}`);
			return;
		}

		counters.recordLatency('renewal', clock.monotonic() - askedAt);
		const {result} = reply;
		switch (result.kind) {
			case 'granted': {
				if (saidLeft !== undefined && saidLeft === left) {
					left = undefined;
				}

				supervision.send({
					kind: 'granted', epoch: result.epoch, askedAt, validity: result.validityMilliseconds, incarnation: result.incarnation, notedEnd: result.notedEnd,
				});
				setScheduler(connection, result.epoch);
				break;
			}

			case 'not-scheduler': {
				connection.isScheduler = false;
				learn(result.entries);
				supervision.send({kind: 'epoch-raised', epoch: result.epoch});
				hear(result.scheduler, connection.address);
			}
		}

		if (connection.isScheduler && supervision.read().revision !== connection.sentRevision) {
			void renew(connection);
		}
	};

	/** Takes over what an entry says of the scheduler; an entry that the store turned away may name an earlier one. */
	const hear = (place: SchedulerPlace | undefined, from: string) => {
		if (place !== undefined && place.address !== from && place.epoch >= services.use(supervisionService).read().epoch && place.epoch > (scheduler?.epoch ?? 0)) {
			scheduler = place;
			learn([place.address]);
			connect();
		}
	};

	const setScheduler = (connection: Connection, epoch: number) => {
		if (!connection.isScheduler) {
			log.info({entry: connection.entry, epoch}, 'entry schedules');
		}

		scheduler = {address: connection.address, epoch};
		for (const other of connections.values()) {
			other.isScheduler = other === connection;
		}
	};

	const dial = async (address: string) => {
		dialling.add(address);
		const peer = await dialPeer(address, {
			registry: supervisorPlugins, context, clock, log,
		});
		const reply = await peer?.call('worker.attach', {agent: settings.agent, process: context.process}, renewalTimeoutMilliseconds);
		if (peer === undefined || reply?.kind !== 'answered' || isStopped) {
			peer?.close('attaching failed');
			const failures = (wanted.get(address) ?? 0) + 1;
			if (failures >= maximumDialFailures && !seeds.includes(address)) {
				wanted.delete(address);
			} else {
				wanted.set(address, failures);
			}

			clock.schedule(redialMilliseconds, () => {
				dialling.delete(address);
			});
			return;
		}

		dialling.delete(address);
		wanted.set(address, 0);
		const {entry, entries, epoch, isScheduler, scheduler: heard} = reply.result;
		const connection: Connection = {
			address, peer, entry, isScheduler: false, isRenewing: false, lastRenewalAt: -Infinity, sentRevision: -1,
		};
		connections.set(address, connection);
		log.info({address, entry, epoch}, 'attached to an entry');
		peer.onClosed(reason => {
			connections.delete(address);
			log.info({address, entry, reason}, 'connection to an entry closed');
		});
		learn(entries);
		services.use(supervisionService).send({kind: 'epoch-raised', epoch});
		if (isScheduler) {
			setScheduler(connection, epoch);
		}

		hear(heard, address);
		void renew(connection);
	};

	/** Opens the connections that are missing and closes those that are no longer needed. */
	const connect = () => {
		const known = [...wanted].map(([address, failures]) => ({address, failures, isConnected: connections.has(address)}));
		const chosen = new Set(chooseEntries(known, {agent: settings.agent, scheduler: scheduler?.address}));
		for (const address of chosen) {
			if (!connections.has(address) && !dialling.has(address)) {
				void dial(address);
			}
		}

		for (const [address, {peer, isScheduler}] of connections) {
			if (!chosen.has(address) && !isScheduler) {
				peer.close('entry is not needed');
			}
		}
	};

	/** Asks the store for entries while none is connected. */
	const lookUp = async () => {
		lastLookupAt = clock.monotonic();
		learn(await services.use(entrySourcePort).list());
	};

	const tick = () => {
		if (isStopped) {
			return;
		}

		connect();
		const present = clock.monotonic();
		const hasScheduler = [...connections.values()].some(({isScheduler}) => isScheduler);
		for (const connection of connections.values()) {
			const interval = connection.isScheduler || !hasScheduler ? renewalIntervalMilliseconds : idleRenewalIntervalMilliseconds;
			if (present - connection.lastRenewalAt >= interval) {
				void renew(connection);
			}
		}

		if (!hasScheduler && present - lastLookupAt > idleRenewalIntervalMilliseconds) {
			void lookUp();
		}

		clock.schedule(tickMilliseconds, tick);
	};

	const renewSoon = () => {
		for (const connection of connections.values()) {
			if (connection.isScheduler) {
				void renew(connection);
			}
		}
	};

	return {
		begin: tick,
		end() {
			isStopped = true;
			for (const {peer} of connections.values()) {
				peer.close('agent stops');
			}
		},
		renewSoon,
		sayLeft(life) {
			left = life;
			renewSoon();
		},
		follow(place) {
			services.use(supervisionService).send({kind: 'epoch-raised', epoch: place.epoch});
			const connection = connections.get(place.address);
			if (connection === undefined) {
				hear(place, '');
				return;
			}

			setScheduler(connection, place.epoch);
			void renew(connection);
		},
	};
}

/** How often connections and renewals are looked at. */
const tickMilliseconds = 100;
