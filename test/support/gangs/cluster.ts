/** Agents, entries and a store on virtual time. */
import {
	createRandomSource, type EntryId, type Incarnation, type JobId, type JobWork, type RackName, type WorkerId,
} from '#core';
import {createVirtualClock} from '#kernel';
import {placeGang, type GangRequest} from '#placement';
import {createJobRecord} from '#recovery';
import {listHoldings, type Cell, type ReservationMessage} from '#reservations';
import {createDriverState} from '../../../packages/entry/jobs/driver-state.js';
import type {PlacementAnswer} from '../../../packages/entry/jobs/driver-types.js';
import {createAgents, type Agent} from './agents.js';
import {createEntries, zone} from './entries.js';
import {createNetwork} from './network.js';
import {createObserver, type Observer} from './observer.js';
import {createJobStore} from './store.js';

export type ClusterOptions = Readonly<{seed: number; workers: number; accelerators: number; entries: number; cells?: ReadonlyMap<number, readonly Cell[]>}>;
export type Cluster = ReturnType<typeof createCluster>;

export function createCluster(options: ClusterOptions) {
	const clock = createVirtualClock(1_000_000);
	const network = createNetwork(clock, createRandomSource(options.seed));
	const store = createJobStore();
	const agents = new Map<WorkerId, Agent>();
	const observer: Observer = createObserver(clock, agents, job => store.values.get(job)?.record);
	const fleet = createAgents({
		network,
		accelerators: options.accelerators,
		getObserver: () => observer,
		notify(agent, {job, attempt, member, state}, acknowledge) {
			network.transmit(() => {
				const entry = owners.entries.get(agent.owner as EntryId);
				if (entry?.isAlive === true && entry.drivers.has(job)) {
					owners.drive(entry, job, {
						kind: 'ended', attempt, member, state,
					});
					network.transmit(acknowledge);
				}
			});
		},
	});

	const place = (request: GangRequest): PlacementAnswer => {
		const workers = [...agents.values()].map(({worker, state}) => ({
			worker, rack: 'rack-1' as RackName, accelerators: options.accelerators, cells: state.cells, holdings: listHoldings(state).filter(({job}) => job !== request.job),
		}));
		const placement = placeGang({workers, isComplete: true}, request);
		return placement.kind === 'placed'
			? {
				kind: 'placed', members: placement.members.map(({member, worker, accelerators}) => ({
					member, accelerators, place: {worker, incarnation: String(agents.get(worker)!.incarnation) as Incarnation},
				})),
			}
			: placement;
	};

	const owners = createEntries({
		network, store, agents, tellAgent: fleet.tell, place,
	});
	for (let number = 1; number <= options.workers; number++) {
		const agent = fleet.create(number, options.cells?.get(number) ?? []);
		agents.set(agent.worker, agent);
	}

	for (let number = 1; number <= options.entries; number++) {
		owners.create(number);
	}

	const agentOf = (number: number) => agents.get(`worker-${number}` as WorkerId)!;
	const entryOf = (number: number) => owners.entries.get(`entry-${number}` as EntryId)!;

	return {
		clock,
		observer,
		setFaults: network.setFaults,
		agentOf,
		tellAgent(number: number, message: ReservationMessage) {
			fleet.tell(agentOf(number), agentOf(number).incarnation, message);
		},
		submit(work: JobWork, entryNumber = 1) {
			const entry = entryOf(entryNumber);
			const record = createJobRecord(work, {owner: entry.id, zone}, clock.now());
			const reply = store.write(record, 0);
			if (reply.kind === 'written') {
				entry.drivers.set(work.jobId, createDriverState(record, reply.version));
				owners.drive(entry, work.jobId, {kind: 'opened'});
			}
		},
		cancel(job: JobId) {
			for (const entry of owners.entries.values()) {
				owners.drive(entry, job, {kind: 'cancel'});
			}
		},
		killEntry(number: number) {
			entryOf(number).isAlive = false;
		},
		pauseEntry(number: number, duration: number) {
			entryOf(number).pausedUntil = clock.monotonic() + duration;
		},
		pauseAgent(number: number, duration: number) {
			agentOf(number).pausedUntil = clock.monotonic() + duration;
		},
		restartAgent(number: number) {
			fleet.restart(agentOf(number));
		},
		/** Live entries that drive a job. */
		countDrivers: (job: JobId) => [...owners.entries.values()].filter(({isAlive, drivers}) => isAlive && drivers.has(job)).length,
		recordOf: (job: JobId) => store.values.get(job)!.record,
		stateOf: (job: JobId) => store.values.get(job)!.record.state.kind,
		running: () => [...agents.values()].flatMap(agent => [...agent.tasks.keys()]),
	};
}
