import {registerOperatorRoutes} from '#transport';
import {agentPlugins} from '../plugins.js';
import {drainService} from './drain.js';
import {sliceService} from './slice.js';

registerOperatorRoutes(agentPlugins, ({services}) => {
	if (services.use(drainService).isDraining()) {
		return {kind: 'not-ready', reason: 'draining'};
	}

	return services.use(sliceService).read().current === undefined ? {kind: 'not-ready', reason: 'no-configuration'} : {kind: 'ready'};
});
