import {entryPlugins} from '../plugins.js';
import {configurationService, configurationWatchService} from './watch-configuration.js';

entryPlugins.register({
	kind: 'http-route',
	name: 'show-configuration',
	summary: 'The configuration in force in this entry',
	method: 'GET',
	path: '/v1/configuration',
	async handle({query}, {services, settings}) {
		const {current} = services.use(configurationService).read();
		if (current === undefined) {
			return {
				kind: 'problem', problem: {status: 503, reason: 'no-configuration', title: 'No configuration has been read yet'},
			};
		}

		const {plans, allowances, ...revision} = current;
		return {
			kind: 'json', status: 200, body: {
				entry: settings.entry,
				...revision,
				isStoreAvailable: services.use(configurationWatchService).isSynchronized(),
				...(query.get('lists') === 'true' ? {plans, allowances} : {}),
			},
		};
	},
});
