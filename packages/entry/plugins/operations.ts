import {createServiceKey, startTask} from '#kernel';
import {registerOperatorRoutes} from '#transport';
import {entryPlugins} from '../plugins.js';
import {configurationService} from './watch-configuration.js';

export type DrainingService = Readonly<{begin(): void; isDraining(): boolean}>;

/** Whether the entry is draining before it stops, so that the load balancer directs callers to other entries. */
export const drainingService = createServiceKey<DrainingService>('draining');

entryPlugins.register({
	kind: 'task',
	name: 'draining',
	start({clock, services}) {
		const draining = startTask<boolean, Readonly<{kind: 'begin'}>, never>(
			{name: 'draining', initialState: false, receive: () => ({state: true, effects: []})},
			{clock, perform() {/* The task has no effects. */}},
		);
		services.provide(drainingService, {
			begin() {
				draining.send({kind: 'begin'});
			},
			isDraining: draining.read,
		});
		return () => {
			draining.stop();
		};
	},
});

registerOperatorRoutes(entryPlugins, ({services}) => {
	if (services.use(drainingService).isDraining()) {
		return {kind: 'not-ready', reason: 'draining'};
	}

	return services.use(configurationService).read().current === undefined ? {kind: 'not-ready', reason: 'no-configuration'} : {kind: 'ready'};
});
