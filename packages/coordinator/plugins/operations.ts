import {createServiceKey} from '#kernel';
import {registerOperatorRoutes, type Readiness} from '#transport';
import {coordinatorPlugins} from '../plugins.js';
import type {CoordinatorContext} from '../types.js';
import {configurationService} from './configuration.js';

/** Whether the entry is draining before it stops. */
export type Draining = Readonly<{begin(): void; isDraining(): boolean}>;

export const drainingService = createServiceKey<Draining>('draining');

coordinatorPlugins.register({
	kind: 'task',
	name: 'draining',
	start({services}) {
		let isDraining = false;
		services.provide(drainingService, {
			begin() {
				isDraining = true;
			},
			isDraining: () => isDraining,
		});
		return () => undefined;
	},
});

/** An entry is ready as soon as it has a configuration, even while the store is down. */
export function readReadiness({services}: CoordinatorContext): Readiness {
	if (services.use(drainingService).isDraining()) {
		return {kind: 'not-ready', reason: 'draining'};
	}

	return services.use(configurationService).read().current === undefined ? {kind: 'not-ready', reason: 'no-configuration'} : {kind: 'ready'};
}

registerOperatorRoutes(coordinatorPlugins, readReadiness);
