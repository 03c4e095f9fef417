/** The programs of an entry and of an agent with all tasks that take part in a hand-over, on simulated processes. */
import {createRandomSource, hashText, type EntryId} from '#core';
import {
	coordinatorPlugins, initialConfigurationState, platformStorePort, type ConfigurationState, type CoordinatorContext, configurationPort,
} from '#coordinator';
import {
	createServices, type Clock, type Counters, type ProgramLog,
} from '#kernel';
import type {TransactionalStore} from '#store';
import {supervisionService, supervisorPlugins, workerPort} from '#supervisor';
import type {RpcPeer} from '#transport';
import {configuration} from '#test/support/scheduling';
import {operatorSource} from '#test/support/zones';
import {configurationService} from '../../../packages/coordinator/plugins/configuration.js';
import {entryPeersService} from '../../../packages/coordinator/plugins/entry-peers.js';
import {entrySourcePort} from '../../../packages/supervisor/ports.js';
import type {SupervisorContext} from '../../../packages/supervisor/types.js';
import '../../../packages/coordinator/plugins/index.js';
import '../../../packages/supervisor/plugins/index.js';
import {createParty, type Network} from './network.js';
import {createProcess, type SimulatedProcess} from './process.js';
import {maximumHoldMilliseconds} from './incarnation.js';
import type {SimulatedWorker} from './worker.js';

export type Environment = Readonly<{
	clock: Clock;
	network: Network;
	log: ProgramLog;
	/** Distinguishes the random choices of the processes. */
	nextSeed(): number;
}>;

export type EntryProgram = Readonly<{process: SimulatedProcess; context: CoordinatorContext}>;

/** In the order in which their services depend on each other. */
const entryTasks = ['store', 'zones', 'lease', 'agents', 'scheduler', 'leadership', 'directory', 'hand-over'] as const;
const agentTasks = ['supervision', 'entries'] as const;

const peerDialMilliseconds = 700;
const announcementMilliseconds = 500;

const silentCounters: Counters = {
	countRefusal: () => undefined, countRetry: () => undefined, countEvent: () => undefined, recordLatency: () => undefined, setGauge: () => undefined, exposition: async () => '',
};

export function addressOf(host: string): string {
	return `${host}:1`;
}

export function startEntry(host: string, others: readonly string[], store: (process: SimulatedProcess) => TransactionalStore, environment: Environment): EntryProgram {
	const {clock, network, log, nextSeed} = environment;
	const process = createProcess(clock);
	const services = createServices();
	const context = {
		services, clock: process.clock, random: createRandomSource(nextSeed()), counters: silentCounters, log, settings: {
			entry: host as EntryId, 'listen-host': host, 'peer-ports': [1], seeds: [], zone: 'z', 'processor-share': 1, 'processor-speed': 1,
		},
	} as unknown as CoordinatorContext;
	const party = createParty(host, process, {registry: coordinatorPlugins, context});
	services.provide(platformStorePort, store(process));
	const configurationState: ConfigurationState = {...initialConfigurationState, current: configuration};
	services.provide(configurationPort, operatorSource);
	services.provide(configurationService, {
		name: 'configuration', read: () => configurationState, send: () => undefined, subscribe: () => () => undefined, stop: () => undefined,
	});
	const peers = new Map<string, RpcPeer>();
	services.provide(entryPeersService, {
		find: () => undefined, findByAddress: address => peers.get(address), list: () => [...peers.values()].filter(peer => peer.isOpen()),
	});
	const dialPeers = async () => {
		for (const other of others.filter(name => peers.get(addressOf(name))?.isOpen() !== true)) {
			const peer = await network.connect(addressOf(other), party);
			if (peer !== undefined) {
				peers.set(addressOf(other), peer);
			}
		}

		process.clock.schedule(peerDialMilliseconds, () => {
			void dialPeers();
		});
	};

	network.listen(addressOf(host), party);
	startTasks(coordinatorPlugins.tasks(), entryTasks, context);
	void dialPeers();
	return {process, context};
}

export function startAgent(host: string, entries: readonly string[], worker: SimulatedWorker, environment: Environment): SimulatedProcess {
	const {clock, network, log, nextSeed} = environment;
	const process = createProcess(clock);
	const services = createServices();
	const seed = nextSeed();
	const context: SupervisorContext = {
		services,
		clock: process.clock,
		random: createRandomSource(seed),
		counters: silentCounters,
		log,
		connect: async address => network.connect(address, createParty(host, process, {registry: supervisorPlugins, context})),
		process: String(hashText(`${host} ${seed}`)),
		settings: {
			agent: host, 'peer-ports': [1, 1], seeds: entries.map(entry => addressOf(entry)), 'maximum-hold-milliseconds': maximumHoldMilliseconds, 'worker-address': addressOf(worker.name),
		} as unknown as SupervisorContext['settings'],
	};
	services.provide(workerPort, worker.connect(process));
	services.provide(entrySourcePort, {list: async () => entries.map(entry => addressOf(entry))});
	startTasks(supervisorPlugins.tasks(), agentTasks, context);
	const announce = () => {
		services.use(supervisionService).send({kind: 'announced', announcement: worker.announce()});
		process.clock.schedule(announcementMilliseconds, announce);
	};

	announce();
	return process;
}

type Startable<Context> = Readonly<{name: string; start(context: Context): unknown}>;

function startTasks<Context>(tasks: ReadonlyArray<Startable<Context>>, names: readonly string[], context: Context): void {
	for (const name of names) {
		tasks.find(task => task.name === name)?.start(context);
	}
}
