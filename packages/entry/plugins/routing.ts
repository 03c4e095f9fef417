import {
	assertNever, type RequestWork, type ServiceClass, type WorkerId,
} from '#core';
import {
	createServiceKey, startTask, type CurrentTime, type TaskHandle,
} from '#kernel';
import {
	initialServiceTimes, observeServiceTime, receiveHealthMessage, receiveLoadMessage, type ClassLoad, type HealthState, type LoadState,
	type ServiceTimes,
} from '#routing';
import {entryPlugins} from '../plugins.js';
import {membershipService} from './membership.js';

export type RoutingState = Readonly<{health: HealthState; loads: LoadState; times: ServiceTimes}>;

export type RoutingMessage =
	| Readonly<{kind: 'joined'; worker: WorkerId}>
	| Readonly<{kind: 'left'; worker: WorkerId}>
	| Readonly<{kind: 'dispatched'; worker: WorkerId; serviceClass: ServiceClass}>
	| Readonly<{kind: 'ended'; worker: WorkerId; serviceClass: ServiceClass; end: 'succeeded' | 'failed' | 'not-started'}>
	| Readonly<{kind: 'reported'; worker: WorkerId; load: ClassLoad}>
	| Readonly<{kind: 'observed'; work: RequestWork; serviceMilliseconds: number}>;

/** The task that owns the observed health and load of workers, and the service times of each plan and kind. */
export const routingService = createServiceKey<TaskHandle<RoutingState, RoutingMessage>>('routing');

entryPlugins.register({
	kind: 'task',
	name: 'routing',
	start({clock, services, log, counters}) {
		const routing = startTask<RoutingState, RoutingMessage, never>({
			name: 'routing',
			initialState: {health: new Map(), loads: new Map(), times: initialServiceTimes},
			receive: (state, message, time) => ({state: receiveRoutingMessage(state, message, time), effects: []}),
		}, {clock, perform() {/* The task has no effects. */}});
		services.provide(routingService, routing);

		let incarnations: ReadonlyMap<WorkerId, string> = new Map();
		const unsubscribe = services.use(membershipService).subscribe(({agents}) => {
			for (const worker of incarnations.keys()) {
				if (!agents.has(worker)) {
					routing.send({kind: 'left', worker});
				}
			}

			for (const {worker, incarnation} of agents.values()) {
				if (incarnations.get(worker) !== incarnation) {
					routing.send({kind: 'joined', worker});
				}
			}

			const ejected = [...routing.read().health].filter(([, {condition}]) => condition.kind !== 'active').map(([worker]) => worker);
			counters.setGauge('ejected-workers', ejected.length);
			if (ejected.length > 0) {
				log.withPrefix('routing').debug({ejected}, 'workers are ejected');
			}

			incarnations = new Map([...agents.values()].map(({worker, incarnation}) => [worker, incarnation]));
		});
		return () => {
			unsubscribe();
			routing.stop();
		};
	},
});

function receiveRoutingMessage(state: RoutingState, message: RoutingMessage, time: CurrentTime): RoutingState {
	switch (message.kind) {
		case 'joined':
		case 'left':
		case 'dispatched':
		case 'ended': {
			return {...state, health: receiveHealthMessage(state.health, message, time), loads: receiveLoadMessage(state.loads, message)};
		}

		case 'reported': {
			return {...state, loads: receiveLoadMessage(state.loads, message)};
		}

		case 'observed': {
			return {...state, times: observeServiceTime(state.times, message.work, message.serviceMilliseconds)};
		}

		default: {
			return assertNever(message);
		}
	}
}
