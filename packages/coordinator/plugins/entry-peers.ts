import type {EntryId, Milliseconds} from '#core';
import type {SharedForecast} from '#forecast';
import {createServiceKey} from '#kernel';
import {connectToPeer, type RpcPeer} from '#transport';
import {entryExchangeParametersSchema, type SharedMemoryUse, type SharedZones} from '#protocol';
import {entryCallTimeoutMilliseconds, exchangeIntervalMilliseconds} from '../constants.js';
import {listEntryAddresses} from '../addresses.js';
import {peerAddressOf} from '../peer-address.js';
import {coordinatorPlugins} from '../plugins.js';
import type {CoordinatorContext} from '../types.js';
import {shareZones} from '../zones-state.js';
import {admissionService} from './admission.js';
import {configurationService} from './configuration.js';
import {directoryService, listEntries} from './directory.js';
import {forecastService} from './forecast.js';
import {leadershipService} from './leadership.js';
import {undecidedService} from './undecided.js';
import {zonesService} from './zones.js';

/** Connections that this entry opened to other entries. */
export type EntryPeers = Readonly<{
	find(entry: EntryId): RpcPeer | undefined;
	findByAddress(address: string): RpcPeer | undefined;
	list(): readonly RpcPeer[];
}>;

export const entryPeersService = createServiceKey<EntryPeers>('entry-peers');

type SharedState = Readonly<{
	configurationVersion: number;
	epoch: number;
	undecided: readonly string[];
	undecidedAges: readonly Milliseconds[];
	undecidedCutAge?: Milliseconds | undefined;
	memoryUse?: SharedMemoryUse | undefined;
	closedZones?: SharedZones | undefined;
	forecast?: SharedForecast | undefined;
}>;

coordinatorPlugins.register({
	kind: 'task',
	name: 'entry-peers',
	start(context) {
		const {
			services, clock, settings, log, counters,
		} = context;
		const peers = new Map<string, RpcPeer>();
		const dialling = new Set<string>();
		let isStopped = false;
		services.provide(entryPeersService, {
			find(entry) {
				const address = listEntries(services.use(directoryService).read()).find(record => record.entry === entry)?.address;
				return address === undefined ? undefined : peers.get(address);
			},
			findByAddress: address => peers.get(address),
			list: () => [...peers.values()].filter(peer => peer.isOpen()),
		});

		const dial = async (address: string) => {
			dialling.add(address);
			const peer = await connectToPeer(address, {
				registry: coordinatorPlugins, context, clock, log: log.withPrefix('entries'),
			});
			dialling.delete(address);
			if (peer === undefined || isStopped) {
				peer?.close('entry is stopping');
				return;
			}

			log.withPrefix('entries').info({address}, 'connected to an entry');
			peers.set(address, peer);
			counters.setGauge('connected-entries', peers.size);
			peer.onClosed(reason => {
				peers.delete(address);
				counters.setGauge('connected-entries', peers.size);
				log.withPrefix('entries').info({address, reason}, 'connection to an entry closed');
			});
		};

		const tick = () => {
			if (isStopped) {
				return;
			}

			const wanted = new Set(listEntryAddresses(context).filter(address => address !== peerAddressOf(settings)));
			for (const [address, peer] of peers) {
				if (!wanted.has(address)) {
					peer.close('entry is no longer registered');
				}
			}

			for (const address of wanted) {
				const peer = peers.get(address);
				if (peer !== undefined) {
					void exchange(peer, context);
				} else if (!dialling.has(address)) {
					void dial(address);
				}
			}

			clock.schedule(exchangeIntervalMilliseconds, tick);
		};

		tick();
		return () => {
			isStopped = true;
			for (const peer of peers.values()) {
				peer.close('entry is stopping');
			}
		};
	},
});

coordinatorPlugins.register({
	kind: 'rpc-method',
	name: 'entry.exchange',
	parametersSchema: entryExchangeParametersSchema,
	async handle(parameters, context) {
		const state = parameters as SharedState;
		applySharedState(state, context);
		return describeSharedState(context);
	},
});

async function exchange(peer: RpcPeer, context: CoordinatorContext): Promise<void> {
	const reply = await peer.call('entry.exchange', {
		entry: context.settings.entry, ...describeSharedState(context),
	}, entryCallTimeoutMilliseconds);
	switch (reply.kind) {
		case 'answered': {
			applySharedState(reply.result, context);
			context.services.use(configurationService).send({kind: 'announced', version: reply.result.configurationVersion, address: peer.address});
			break;
		}

		// The next tick replaces a connection that was closed because it did not answer.
		case 'failed': {
			peer.close(`exchange failed: ${reply.message}`);
		}
	}
}

function applySharedState({epoch, undecided, undecidedAges, undecidedCutAge, memoryUse, closedZones, forecast}: SharedState, {services}: CoordinatorContext): void {
	const submissions = undecided.map((path, index) => ({path, age: undecidedAges[index] ?? 0}));
	services.use(undecidedService).addAll(undecidedCutAge === undefined ? {kind: 'whole', submissions} : {kind: 'cut', submissions, age: undecidedCutAge});

	if (memoryUse !== undefined) {
		services.use(admissionService).observe(memoryUse);
	}

	if (closedZones !== undefined) {
		services.use(zonesService).send({kind: 'observed', observation: {kind: 'shared', ...closedZones}, source: 'entry'});
	}

	if (forecast !== undefined) {
		services.use(forecastService).observe(forecast);
	}

	services.use(leadershipService).send({kind: 'epoch-observed', epoch});
}

function describeSharedState({services, clock}: CoordinatorContext): SharedState {
	const {highestEpoch} = services.use(leadershipService).read();
	const undecided = services.use(undecidedService).list();
	const memoryUse = services.use(admissionService).describe();
	const closedZones = shareZones(services.use(zonesService).read(), {monotonic: clock.monotonic()});
	const forecast = services.use(forecastService).describe();
	return {
		configurationVersion: services.use(configurationService).read().current?.version ?? 0,
		epoch: highestEpoch,
		undecided: undecided.submissions.map(({path}) => path),
		undecidedAges: undecided.submissions.map(({age}) => age),
		...(undecided.kind === 'cut' ? {undecidedCutAge: undecided.age} : {}),
		...(memoryUse === undefined ? {} : {memoryUse}),
		...(closedZones === undefined ? {} : {closedZones}),
		...(forecast === undefined ? {} : {forecast}),
	};
}
