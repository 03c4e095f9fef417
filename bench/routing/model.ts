import {
	createRandomSource, pickInteger, type MonotonicTime, type RandomSource, type ServiceClass, type RequestId, type RequestWork, type WorkerId,
} from '#core';
import {
	chooseWorker, estimateOthers, estimateService, initialServiceTimes, observeServiceTime, readShare, receiveHealthMessage, type CandidateSource, type ClassLoad, type HealthState,
	type ServiceTimes,
} from '#routing';
import {createQueueSettings} from '#limits';
import {EventQueue} from './events.js';
import type {
	Arrival, Completion, Played, Policy, Scenario,
} from './types.js';
import {createAgentWorker, createFifoWorker, type ModelWorker} from './workers.js';

/** One way between an entry and a worker of its zone. */
const latencyMilliseconds = 0.5;
const reportMilliseconds = 2000;

/** One entry: it knows its own outstanding requests and what workers last reported. */
type Entry = {
	readonly outstanding: ClassLoad[];
	readonly others: ClassLoad[];
	health: HealthState;
	times: ServiceTimes;
	turn: number;
};

const noLoad: ClassLoad = {short: 0, long: 0};
const identify = (index: number) => `worker-${index}` as WorkerId;

/** Plays a scenario under one policy on virtual time. */
export function play(scenario: Scenario, policy: Policy, seed: number): Played {
	const events = new EventQueue();
	const random = createRandomSource(seed);
	const workers = Array.from({length: scenario.workers}, (_, index): ModelWorker => {
		const options = {
			slots: scenario.slots, isFailing: scenario.failing.has(index), failureMilliseconds: scenario.failureMilliseconds, events,
		};
		return policy === 'product' ? createAgentWorker(options) : createFifoWorker(options);
	});
	const zeros = () => workers.map((): ClassLoad => ({short: 0, long: 0}));
	const joined: HealthState = new Map(workers.map((_, index) => [
		identify(index), {
			condition: {kind: 'active', since: -60_000}, succeeded: 0, failed: 0, countedAt: 0,
		},
	]));
	const entries = Array.from({length: scenario.entries}, (): Entry => ({
		outstanding: zeros(), others: zeros(), health: joined, times: initialServiceTimes, turn: 0,
	}));
	const completions: Completion[] = [];
	for (const [index, worker] of workers.entries()) {
		const report = () => {
			const {shortQueued, shortRunning, longQueued, longRunning} = worker.load();
			for (const entry of entries) {
				const own = entry.outstanding[index] ?? noLoad;
				const present = entry.others[index] ?? noLoad;
				entry.others[index] = estimateOthers(present, {short: shortQueued + shortRunning, long: longQueued + longRunning}, own);
			}

			events.schedule(reportMilliseconds, report);
		};

		// Agents report at different moments.
		events.schedule(random() * reportMilliseconds, report);
	}

	for (const arrival of scenario.arrivals) {
		events.schedule(arrival.at, () => {
			const entry = entries[pickInteger(random, entries.length)];
			if (entry !== undefined) {
				dispatch(arrival, entry);
			}
		});
	}

	const dispatch = (arrival: Arrival, entry: Entry) => {
		const work = describeWork(arrival);
		const estimate = estimateService(entry.times, work);
		const index = chooseIndex(entry, policy, {
			slots: scenario.slots, serviceClass: estimate.serviceClass, random, monotonic: events.now,
		});
		const worker = workers[index];
		if (worker === undefined) {
			return;
		}

		const isBehindLong = worker.isLongQueued();
		changeOutstanding(entry, index, estimate.serviceClass, 1);
		entry.health = receiveHealthMessage(entry.health, {kind: 'dispatched', worker: identify(index)}, {monotonic: events.now});
		events.schedule(latencyMilliseconds, () => {
			worker.run(arrival, work, estimate, end => {
				events.schedule(latencyMilliseconds, () => {
					changeOutstanding(entry, index, estimate.serviceClass, -1);
					const isRan = end.kind === 'ran';
					const startedAt = isRan ? end.startedAt : events.now;
					const isFailed = isRan && end.isFailed;
					entry.health = receiveHealthMessage(entry.health, {
						kind: 'ended', worker: identify(index), end: isRan ? (isFailed ? 'failed' : 'succeeded') : 'not-started',
					}, {monotonic: events.now});
					if (isRan && !isFailed) {
						entry.times = observeServiceTime(entry.times, work, end.serviceMilliseconds);
					}

					completions.push({
						arrival, startedAt, endedAt: events.now, isFailed, isRefused: !isRan, waitedBehindLong: isBehindLong ? startedAt - arrival.at : 0,
					});
				});
			});
		});
	};

	events.run(() => completions.length >= scenario.arrivals.length);
	return {completions};
}

function describeWork({number, plan, kind, declaredMilliseconds}: Arrival): RequestWork {
	const work: unknown = {
		requestId: `request-${number}` as RequestId, plan, kind, idempotent: true, declaredMilliseconds, payload: undefined,
	};
	return work as RequestWork;
}

function changeOutstanding({outstanding}: Entry, index: number, serviceClass: ServiceClass, change: number): void {
	const present = outstanding[index] ?? noLoad;
	outstanding[index] = {...present, [serviceClass]: present[serviceClass] + change};
}

type Choice = Readonly<{slots: number; serviceClass: ServiceClass; random: RandomSource; monotonic: MonotonicTime}>;

function chooseIndex(entry: Entry, policy: Policy, {slots, serviceClass, random, monotonic}: Choice): number {
	const {outstanding, others} = entry;
	const countAt = (index: number) => (outstanding[index]?.short ?? 0) + (outstanding[index]?.long ?? 0);
	switch (policy) {
		case 'round-robin': {
			entry.turn++;
			return entry.turn % outstanding.length;
		}

		case 'least-outstanding': {
			const counts = outstanding.map((_, index) => countAt(index));
			return counts.indexOf(Math.min(...counts));
		}

		case 'two-choices': {
			const first = pickInteger(random, outstanding.length);
			const second = pickInteger(random, outstanding.length);
			return countAt(first) <= countAt(second) ? first : second;
		}

		case 'product': {
			const longSlots = slots - createQueueSettings(slots).reservedForShort;
			const source: CandidateSource = {
				count: outstanding.length,
				at(index) {
					const share = readShare(entry.health, identify(index), monotonic);
					return share === 0
						? undefined
						: {
							worker: identify(index), slots, longSlots, outstanding: outstanding[index] ?? noLoad, others: others[index] ?? noLoad, share,
						};
				},
			};
			return Number(chooseWorker(source, serviceClass, random)?.worker.slice('worker-'.length) ?? 0);
		}
	}
}
