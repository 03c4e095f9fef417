import type {RequestWork, WorkerId} from '#core';
import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {
	initialServiceTimes, observeServiceTime, receiveHealthMessage, type HealthMessage, type HealthState, type ServiceTimes,
} from '#routing';
import {entryPlugins} from '../plugins.js';
import {membershipService} from './membership.js';

export type RoutingState = Readonly<{health: HealthState; times: ServiceTimes}>;

export type RoutingMessage =
	| Readonly<{kind: 'health'; message: HealthMessage}>
	| Readonly<{kind: 'observed'; work: RequestWork; serviceMilliseconds: number}>;

/** The task that owns what the entry has seen of workers and of the service times of each plan and kind. */
export const routingService = createServiceKey<TaskHandle<RoutingState, RoutingMessage>>('routing');

entryPlugins.register({
	kind: 'task',
	name: 'routing',
	start({clock, services, log, counters}) {
		const routing = startTask<RoutingState, RoutingMessage, never>({
			name: 'routing',
			initialState: {health: new Map(), times: initialServiceTimes},
			receive(state, message, present) {
				switch (message.kind) {
					case 'health': {
						return {state: {...state, health: receiveHealthMessage(state.health, message.message, present)}, effects: []};
					}

					case 'observed': {
						return {state: {...state, times: observeServiceTime(state.times, message.work, message.serviceMilliseconds)}, effects: []};
					}
				}
			},
		}, {clock, perform() {/* The task only keeps state. */}});
		services.provide(routingService, routing);

		let incarnations: ReadonlyMap<WorkerId, string> = new Map();
		const stopWatching = services.use(membershipService).subscribe(({agents}) => {
			for (const worker of incarnations.keys()) {
				if (!agents.has(worker)) {
					routing.send({kind: 'health', message: {kind: 'left', worker}});
				}
			}

			for (const {worker, incarnation} of agents.values()) {
				if (incarnations.get(worker) !== incarnation) {
					routing.send({kind: 'health', message: {kind: 'joined', worker}});
				}
			}

			const ejected = [...routing.read().health].filter(([, {condition}]) => condition.kind !== 'active').map(([worker]) => worker);
			counters.setGauge('ejected-workers', ejected.length);
			if (ejected.length > 0) {
				log.part('routing').debug({ejected}, 'workers are ejected');
			}

			incarnations = new Map([...agents.values()].map(({worker, incarnation}) => [worker, incarnation]));
		});
		return () => {
			stopWatching();
			routing.stop();
		};
	},
});
