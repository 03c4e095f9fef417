import {coordinatorPlugins} from '../plugins.js';
import {platformStorePort, storeMonitorService, storePort} from '../ports.js';
import {monitorStore} from '../store-monitor.js';

coordinatorPlugins.register({
	kind: 'task',
	name: 'store',
	start({services, clock, counters, log}) {
		const monitor = monitorStore(services.use(platformStorePort), {clock, counters, log: log.withPrefix('store')});
		services.provide(storePort, monitor.store);
		services.provide(storeMonitorService, monitor);
		return () => undefined;
	},
});
