import type {Milliseconds, MonotonicTime} from '#core';
import {
	createServiceKey, startTask, type Cancel, type TaskHandle,
} from '#kernel';
import {unconfirmedLeadershipMilliseconds} from '#scheduling';
import {schedulerTickMilliseconds} from '../constants.js';
import {computeElectionDelay} from '../election-delay.js';
import {epochKey, leaderKey, type LeaderRecord} from '../keys.js';
import {
	createLeadershipState, receiveLeadershipMessage, type LeadershipEffect, type LeadershipMessage, type LeadershipState,
} from '../leadership.js';
import {peerAddressOf} from '../peer-address.js';
import {coordinatorPlugins} from '../plugins.js';
import {createSuspensionGuard, type SuspensionGuard} from '../suspension.js';
import {storePort} from '../ports.js';
import type {CoordinatorContext} from '../types.js';
import {leaseService} from './lease.js';
import {schedulerService} from './scheduler.js';

/** Task that decides whether this entry schedules. */
export const leadershipService = createServiceKey<TaskHandle<LeadershipState, LeadershipMessage>>('leadership');

/** Offers a term that this entry ended to another one. */
export const handOverService = createServiceKey<Readonly<{offer(ended: Readonly<{epoch: number; leaderVersion: number}>): void}>>('hand-over');

/** Checks whether the lease was confirmed since the machine was last suspended. */
const suspensionService = createServiceKey<SuspensionGuard>('suspension');

/** Whether this entry may still send orders: its lease was confirmed recently enough. */
export function holdsLeadership({services, clock}: CoordinatorContext): boolean {
	const held = services.use(leaseService).getLatest();
	return services.use(leadershipService).read().term !== undefined
		&& held !== undefined
		&& services.use(suspensionService).isConfirmed(held)
		&& clock.monotonic() < held.validUntil + unconfirmedLeadershipMilliseconds;
}

/** Until when no other entry can have won an election since this one did, as far as the store has confirmed. */
export function findConfirmedLeaseEnd({services}: CoordinatorContext): MonotonicTime {
	const held = services.use(leaseService).getLatest();
	return held !== undefined && services.use(suspensionService).isConfirmed(held) ? held.validUntil : -Infinity;
}

type Send = (message: LeadershipMessage) => void;

coordinatorPlugins.register({
	kind: 'task',
	name: 'leadership',
	start(context) {
		const {clock, services, settings, counters} = context;
		services.provide(suspensionService, createSuspensionGuard(clock));
		const leadership = startTask<LeadershipState, LeadershipMessage, LeadershipEffect>(
			{name: 'leadership', initialState: createLeadershipState(settings.entry, peerAddressOf(settings)), receive: receiveLeadershipMessage},
			{
				clock,
				perform(effect, send) {
					performEffect(effect, send, context);
				},
			},
		);
		services.provide(leadershipService, leadership);
		const cancel = services.use(leaseService).onChanged(lease => {
			leadership.send({kind: 'lease-changed', lease});
		});
		let cancelCheck: Cancel = () => undefined;
		// Regular checks let the suspension guard notice a pause of this process.
		const check = () => {
			counters.setGauge('may-send-orders', Number(holdsLeadership(context)));
			cancelCheck = clock.schedule(schedulerTickMilliseconds, check);
		};

		check();
		return () => {
			cancelCheck();
			cancel();
			leadership.stop();
		};
	},
});

function performEffect(effect: LeadershipEffect, send: Send, context: CoordinatorContext): void {
	const {clock, random, services, counters} = context;
	const log = context.log.withPrefix('leadership');
	switch (effect.kind) {
		case 'schedule-election': {
			void scheduleElection(send, context);
			break;
		}

		case 'retry-later': {
			clock.schedule(effect.delay * (1 + random()), () => {
				send({kind: 'election-due'});
			});
			break;
		}

		case 'elect': {
			void elect(effect, send, context);
			break;
		}

		case 'lead': {
			counters.countEvent('leadership-gained');
			log.info({epoch: effect.epoch}, 'this entry schedules');
			services.use(schedulerService).beginTerm(effect.epoch, effect.leaderVersion);
			break;
		}

		case 'step-down': {
			counters.countEvent('leadership-lost');
			log.info({epoch: effect.epoch, reason: effect.reason}, 'this entry no longer schedules');
			services.use(schedulerService).endTerm();
			break;
		}

		case 'offer-term': {
			services.use(handOverService).offer(effect);
		}
	}
}

async function scheduleElection(send: Send, {clock, random, services, settings}: CoordinatorContext): Promise<void> {
	const startedAt = clock.monotonic();
	await services.use(storePort).read(epochKey);
	const latency: Milliseconds = clock.monotonic() - startedAt;
	const processorCapacity = settings['processor-share'] * settings['processor-speed'];
	clock.schedule(computeElectionDelay({latency, processorCapacity, random: random()}), () => {
		send({kind: 'election-due'});
	});
}

async function elect({lease, epoch, epochVersion, leaderVersion}: Extract<LeadershipEffect, {kind: 'elect'}>, send: Send, {services, settings, log}: CoordinatorContext): Promise<void> {
	const record: LeaderRecord = {
		entry: settings.entry, epoch, address: peerAddressOf(settings), lease,
	};
	const reply = await services.use(storePort).commit({
		conditions: [{key: leaderKey, expectedVersion: leaderVersion}, {key: epochKey, expectedVersion: epochVersion}],
		puts: [{key: leaderKey, value: record, lease}, {key: epochKey, value: {epoch}}],
		removals: [],
	});
	log.withPrefix('leadership').info({epoch, outcome: reply.kind}, 'election ended');
	switch (reply.kind) {
		case 'committed': {
			send({
				kind: 'election-ended', outcome: 'won', lease, epoch, version: reply.version,
			});
			break;
		}

		case 'conflict':
		case 'lease-unknown':
		case 'unavailable': {
			send({
				kind: 'election-ended', outcome: reply.kind === 'unavailable' ? 'unknown' : 'lost', lease, epoch, version: 0,
			});
		}
	}
}
