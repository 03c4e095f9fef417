import type {EntryId, MonotonicTime} from '#core';
import {createServiceKey} from '#kernel';
import type {SchedulerReference} from '#protocol';
import {chooseEntries, describeWorker, estimateWorkerClock} from '#supervision';
import {replacePort, type RpcPeer} from '#transport';
import {
	standbyRenewalIntervalMilliseconds, maximumDialFailures, redialDelayMilliseconds, renewalIntervalMilliseconds, renewalTimeoutMilliseconds,
} from '../constants.js';
import {supervisorPlugins} from '../plugins.js';
import {entrySourcePort} from '../ports.js';
import type {SupervisorContext} from '../types.js';
import {supervisionService} from './supervision.js';

/** Maintains the connections to the entries and sends grant renewals over them. */
export type Entries = Readonly<{
	/** Reports a change to the scheduler at once. */
	renewNow(): void;
	/** Connects to the scheduler that an entry announced. */
	followScheduler(scheduler: SchedulerReference): void;
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
		entries.start();
		return entries.stop;
	},
});

function createEntries(context: SupervisorContext): Entries & Readonly<{start(): void; stop(): void}> {
	const {services, clock, settings, counters} = context;
	const log = context.log.withPrefix('entries');
	const [peerPort = 0] = settings['peer-ports'];
	const seeds = replacePort(settings.seeds, peerPort);
	const connections = new Map<string, Connection>();
	/** Consecutive failed connection attempts of every known address. */
	const failuresByAddress = new Map<string, number>(seeds.map(address => [address, 0]));
	const dialling = new Set<string>();
	let scheduler: SchedulerReference | undefined;
	let isStopped = false;
	let lastLookupAt = -Infinity;

	const addAddresses = (addresses: readonly string[]) => {
		for (const address of addresses) {
			if (!failuresByAddress.has(address)) {
				failuresByAddress.set(address, 0);
			}
		}
	};

	const renew = async (connection: Connection) => {
		if (connection.isRenewing || !connection.peer.isOpen()) {
			return;
		}

		connection.isRenewing = true;
		const sentAt = clock.monotonic();
		connection.lastRenewalAt = sentAt;
		const supervision = services.use(supervisionService);
		const state = supervision.read();
		const [ended, ...laterEnded] = connection.isScheduler ? state.endedIncarnations : [];
		// The present incarnation follows all that ended: its report releases their runs.
		const snapshot = connection.isScheduler && laterEnded.length === 0 ? describeWorker(state, sentAt) : undefined;
		const reported = snapshot === undefined || state.worker === undefined ? undefined : {incarnation: snapshot.incarnation, clock: estimateWorkerClock(state.worker, sentAt)};
		connection.sentRevision = state.revision;
		const reply = await connection.peer.call('worker.renew', {
			agent: settings.agent, epoch: state.epoch, ...(snapshot === undefined ? {} : {snapshot}), ...(ended === undefined ? {} : {left: ended}),
		}, renewalTimeoutMilliseconds);
		connection.isRenewing = false;
		if (reply.kind === 'failed') {
			counters.countRetry('renewal');
			connection.peer.close(`renewal failed: ${reply.message}`);
			return;
		}

		counters.recordLatency('renewal', clock.monotonic() - sentAt);
		const {result} = reply;
		switch (result.kind) {
			case 'granted': {
				if (ended !== undefined && result.epoch >= supervision.read().epoch) {
					supervision.send({kind: 'incarnation-end-reported', incarnation: ended});
				}

				supervision.send({
					kind: 'granted', epoch: result.epoch, sentAt, validity: result.validityMilliseconds, incarnation: result.incarnation, notedEnd: result.notedEnd, reported,
				});
				setScheduler(connection, result.epoch);
				break;
			}

			case 'not-scheduler': {
				connection.isScheduler = false;
				addAddresses(result.entries);
				supervision.send({kind: 'epoch-raised', epoch: result.epoch});
				handleSchedulerReport(result.scheduler, connection.address);
			}
		}

		// A renewal without the worker obtains no grant, so the worker is reported as soon as it can be.
		const isReportDue = snapshot === undefined && describeWorker(supervision.read(), clock.monotonic()) !== undefined;
		if (connection.isScheduler && (isReportDue || supervision.read().revision !== connection.sentRevision)) {
			void renew(connection);
		}
	};

	/** Applies an entry's report of the scheduler. Stale epochs are ignored: an entry without access to the store may name an earlier scheduler. */
	const handleSchedulerReport = (reference: SchedulerReference | undefined, from: string) => {
		if (reference !== undefined && reference.address !== from && reference.epoch >= services.use(supervisionService).read().epoch && reference.epoch > (scheduler?.epoch ?? 0)) {
			scheduler = reference;
			addAddresses([reference.address]);
			updateConnections();
		}
	};

	const setScheduler = (connection: Connection, epoch: number) => {
		if (!connection.isScheduler) {
			log.info({entry: connection.entry, epoch}, 'entry is the scheduler');
		}

		scheduler = {address: connection.address, epoch};
		for (const other of connections.values()) {
			other.isScheduler = other === connection;
		}
	};

	const dial = async (address: string) => {
		dialling.add(address);
		const peer = await context.connect(address, {
			registry: supervisorPlugins, context, clock, log,
		});
		const reply = await peer?.call('worker.attach', {agent: settings.agent, process: context.process}, renewalTimeoutMilliseconds);
		if (peer === undefined || reply?.kind !== 'answered' || isStopped) {
			peer?.close('attach failed');
			const failures = (failuresByAddress.get(address) ?? 0) + 1;
			if (failures >= maximumDialFailures && !seeds.includes(address)) {
				failuresByAddress.delete(address);
			} else {
				failuresByAddress.set(address, failures);
			}

			clock.schedule(redialDelayMilliseconds, () => {
				dialling.delete(address);
			});
			return;
		}

		dialling.delete(address);
		failuresByAddress.set(address, 0);
		const {entry, entries, epoch, isScheduler, scheduler: reportedScheduler} = reply.result;
		const connection: Connection = {
			address, peer, entry, isScheduler: false, isRenewing: false, lastRenewalAt: -Infinity, sentRevision: -1,
		};
		connections.set(address, connection);
		log.info({address, entry, epoch}, 'attached to an entry');
		peer.onClosed(reason => {
			connections.delete(address);
			log.info({address, entry, reason}, 'connection to an entry closed');
		});
		addAddresses(entries);
		services.use(supervisionService).send({kind: 'epoch-raised', epoch});
		if (isScheduler) {
			setScheduler(connection, epoch);
		}

		handleSchedulerReport(reportedScheduler, address);
		void renew(connection);
	};

	/** Opens missing connections and closes those that are no longer needed. */
	const updateConnections = () => {
		const known = [...failuresByAddress].map(([address, failures]) => ({address, failures, isConnected: connections.has(address)}));
		const chosen = new Set(chooseEntries(known, {agent: settings.agent, scheduler: scheduler?.address}));
		for (const address of chosen) {
			if (!connections.has(address) && !dialling.has(address)) {
				void dial(address);
			}
		}

		for (const [address, {peer, isScheduler}] of connections) {
			if (!chosen.has(address) && !isScheduler) {
				peer.close('connection is no longer needed');
			}
		}
	};

	/** Looks up entries in the store while no scheduler is connected. */
	const lookUpEntries = async () => {
		lastLookupAt = clock.monotonic();
		addAddresses(await services.use(entrySourcePort).list());
	};

	const tick = () => {
		if (isStopped) {
			return;
		}

		updateConnections();
		const monotonic = clock.monotonic();
		const hasScheduler = [...connections.values()].some(({isScheduler}) => isScheduler);
		for (const connection of connections.values()) {
			const interval = connection.isScheduler || !hasScheduler ? renewalIntervalMilliseconds : standbyRenewalIntervalMilliseconds;
			if (monotonic - connection.lastRenewalAt >= interval) {
				void renew(connection);
			}
		}

		if (!hasScheduler && monotonic - lastLookupAt > standbyRenewalIntervalMilliseconds) {
			void lookUpEntries();
		}

		clock.schedule(tickMilliseconds, tick);
	};

	const renewNow = () => {
		for (const connection of connections.values()) {
			if (connection.isScheduler) {
				void renew(connection);
			}
		}
	};

	return {
		start: tick,
		stop() {
			isStopped = true;
			for (const {peer} of connections.values()) {
				peer.close('agent is stopping');
			}
		},
		renewNow,
		followScheduler(reference) {
			services.use(supervisionService).send({kind: 'epoch-raised', epoch: reference.epoch});
			const connection = connections.get(reference.address);
			if (connection === undefined) {
				handleSchedulerReport(reference, '');
				return;
			}

			setScheduler(connection, reference.epoch);
			void renew(connection);
		},
	};
}

/** How often connections and due renewals are checked. */
const tickMilliseconds = 100;
