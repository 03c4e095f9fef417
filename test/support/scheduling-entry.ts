/** An entry that schedules, with the tasks that serve agents, and connections that exist only in memory. */
import type {EntryId} from '#core';
import {
	coordinatorPlugins, directoryService, leadershipService, leaseService, schedulerService, type CoordinatorContext, type Scheduler,
} from '#coordinator';
import {
	createCounters, createServices, createVirtualClock, silentLog,
} from '#kernel';
import type {LeaseHandle} from '#store';
import type {RpcPeer} from '#transport';
import '../../packages/coordinator/plugins/index.js';

export function createFakePeer(address: string): RpcPeer {
	const listeners = new Set<(reason: string) => void>();
	let isOpen = true;
	const peer: Partial<RpcPeer> = {
		address,
		close(reason) {
			if (isOpen) {
				isOpen = false;
				for (const listener of listeners) {
					listener(reason);
				}
			}
		},
		isOpen: () => isOpen,
		onClosed(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
	return peer as RpcPeer;
}

/** Starts the tasks that handle renewals, in an entry that schedules at epoch 1. */
export function startSchedulingEntry(scheduler: Pick<Scheduler, 'send' | 'read'>): CoordinatorContext {
	const entry = 'entry-a' as EntryId;
	const services = createServices();
	const clock = createVirtualClock();
	const held = {lease: '1', requestedAt: 1, validUntil: 1_000_000};
	services.provide(leaseService, {getValid: () => held, getLatest: () => held, onChanged: () => () => undefined} as unknown as LeaseHandle);
	services.provide(directoryService, {
		name: 'directory', read: () => ({values: new Map()}), send: () => undefined, subscribe: () => () => undefined, stop: () => undefined,
	});
	services.provide(schedulerService, {beginTerm: () => undefined, endTerm: () => undefined, ...scheduler});
	const context = {
		services, clock, counters: createCounters(), log: silentLog, settings: {
			entry, 'listen-host': 'h', 'peer-ports': [1], seeds: [],
		},
	} as unknown as CoordinatorContext;
	for (const task of coordinatorPlugins.tasks().filter(({name}) => name === 'leadership' || name === 'agents')) {
		task.start(context);
	}

	const leadership = services.use(leadershipService);
	leadership.send({kind: 'lease-changed', lease: '1'});
	leadership.send({
		kind: 'observed', epoch: {value: 1, version: 1}, leader: {
			value: {
				entry, epoch: 1, address: 'h:1', lease: '1',
			}, version: 1,
		},
	});
	return context;
}

/** Returns the method's result; undefined if it answers with an error, after which an agent closes its connection. */
export async function callMethod(name: string, parameters: unknown, context: CoordinatorContext, peer: RpcPeer): Promise<unknown> {
	try {
		return await coordinatorPlugins.rpcMethods().find(method => method.name === name)?.handle(parameters, context, peer);
	} catch {
		return undefined;
	}
}
