import type {JobId, MonotonicTime, PlanName} from '#core';
import {startTask} from '#kernel';
import {
	initialPlacementQueueState, applyDriverStates, placeInOrder, receivePlacementQueueMessage, type PlacementQueueEffect, type PlacementQueueMessage, type PlacementQueueState, type PlanLimits,
} from '../jobs/placement-queue.js';
import {concludedRetentionMilliseconds, maximumConcludedJobs, maximumWokenJobs} from '../jobs/constants.js';
import {createDriverState} from '../jobs/driver-state.js';
import type {
	DriverEffect, DriverMessage, DriverState, PlacementAnswer,
} from '../jobs/driver-types.js';
import {receiveDriverMessage} from '../jobs/driver.js';
import {formatOwnershipKey} from '../jobs/ownership.js';
import {listDiscardableJobs, performDriverEffect} from '../jobs/driver-effects.js';
import {jobsService, type DriverHandle, type JobsService} from '../jobs/service.js';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {layoutService} from './layout-task.js';
import {membershipService} from './membership.js';
import {storeService} from './store.js';
import {configurationService} from './watch-configuration.js';

entryPlugins.register({
	kind: 'task',
	name: 'job-drivers',
	start(context) {
		const {clock, services} = context;
		const drivers = new Map<JobId, DriverHandle>();
		const concluded = new Map<JobId, MonotonicTime>();

		const placements = startTask<PlacementQueueState, PlacementQueueMessage, PlacementQueueEffect>({
			name: 'job-placements', initialState: initialPlacementQueueState, receive: receivePlacementQueueMessage,
		}, {
			clock,
			perform(effect, send) {
				switch (effect.kind) {
					case 'schedule': {
						clock.schedule(effect.delay, () => {
							send({kind: 'due'});
						});
						break;
					}

					case 'place': {
						const view = applyDriverStates(services.use(layoutService).buildZoneView(), [...drivers.values()].map(driver => driver.read()));
						for (const {job, placement} of placeInOrder(view, effect.requests, readLimits(context))) {
							drivers.get(job)?.send({kind: 'placed', answer: toPlacementAnswer(placement, context)});
						}
					}
				}
			},
		});

		const handleConcluded = ({record, isOwner}: Extract<DriverEffect, {kind: 'concluded'}>) => {
			const job = record.work.jobId;
			context.log.withPrefix('jobs').info({job, state: record.state.kind, isOwner}, isOwner ? 'job ended' : 'job was released to another entry');
			if (!isOwner) {
				drivers.delete(job);
				return;
			}

			context.counters.countEvent(`job-${record.state.kind}`);
			concluded.set(job, clock.monotonic());
			for (const expired of listDiscardableJobs(concluded, clock.monotonic() - concludedRetentionMilliseconds, maximumConcludedJobs)) {
				concluded.delete(expired);
				drivers.delete(expired);
			}

			void removeOwnership(record, context);
			wakeWaitingDrivers(drivers);
		};

		const jobs: JobsService = {
			startDriver(record, version) {
				const driver = startTask<DriverState, DriverMessage, DriverEffect>({
					name: `job ${record.work.jobId}`, initialState: createDriverState(record, version), receive: receiveDriverMessage,
				}, {
					clock,
					perform(effect, send) {
						if (effect.kind === 'place') {
							placements.send({kind: 'request', request: effect.request});
						} else if (effect.kind === 'concluded') {
							handleConcluded(effect);
						} else {
							void performDriverEffect(effect, context, send);
						}
					},
				});
				drivers.set(record.work.jobId, driver);
				driver.send({kind: 'opened'});
				return driver;
			},
			find: job => drivers.get(job),
			list: () => [...drivers.values()],
			releaseAll() {
				for (const driver of drivers.values()) {
					driver.send({kind: 'release'});
				}
			},
		};
		services.provide(jobsService, jobs);
		return () => {
			jobs.releaseAll();
			placements.stop();
		};
	},
});

function readLimits({services}: EntryContext): ReadonlyMap<PlanName, PlanLimits> {
	const configuration = services.use(configurationService).read().current;
	const allowances = new Map(configuration?.allowances.map(allowance => [allowance.plan, allowance] as const));
	return new Map(configuration?.plans.map(({name, urgency}) => [name, {
		isUrgent: urgency === 'urgent', maximumAccelerators: allowances.get(name)?.maximumAccelerators ?? 0,
	}] as const));
}

/** Resolves each member to the current incarnation of its agent. */
function toPlacementAnswer(placement: ReturnType<typeof placeInOrder>[number]['placement'], {services}: EntryContext): PlacementAnswer {
	switch (placement.kind) {
		case 'waiting':
		case 'impossible': {
			return placement;
		}

		case 'placed': {
			const {agents} = services.use(membershipService).read();
			const members = placement.members.flatMap(({member, worker, accelerators}) => {
				const agent = agents.get(worker);
				return agent === undefined ? [] : [{member, accelerators, place: {worker, incarnation: agent.incarnation}}];
			});
			return members.length === placement.members.length ? {kind: 'placed', members} : {kind: 'waiting', reason: 'no-worker-available'};
		}
	}
}

/** Removes the ownership marker. If that fails, a search for jobs without an owner removes it after the driver has been discarded. */
async function removeOwnership({work: {jobId: job}, owner, zone}: DriverState['record'], {services}: EntryContext): Promise<void> {
	const store = services.use(storeService);
	const key = formatOwnershipKey({zone, owner, job});
	const marker = await store.read(key);
	if (marker.kind === 'found') {
		await store.remove(key, marker.stored.version);
	}
}

/** Retries the placement of the oldest waiting jobs without their backoff, because accelerators were released. */
function wakeWaitingDrivers(drivers: ReadonlyMap<JobId, DriverHandle>): void {
	const waiting = [...drivers.values()].filter(driver => driver.read().phase.kind === 'waiting');
	for (const driver of waiting.toSorted((one, other) => one.read().record.submittedAt - other.read().record.submittedAt).slice(0, maximumWokenJobs)) {
		driver.send({kind: 'placement-due'});
	}
}
