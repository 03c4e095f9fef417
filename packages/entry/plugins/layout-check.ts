import {listsSchema, type Lists} from '#configuration';
import {checkFeasibility} from '#placement';
import {entryPlugins} from '../plugins.js';
import {initialRepairDelayMilliseconds} from '../layout/index.js';
import {layoutService} from './layout-task.js';

entryPlugins.register({
	kind: 'http-route',
	name: 'check-configuration',
	method: 'POST',
	path: '/v1/configuration/check',
	bodySchema: listsSchema,
	async handle({body}, {services}) {
		const inventory = services.use(layoutService).readInventory();
		return inventory === undefined
			? {
				kind: 'problem', problem: {
					status: 503, reason: 'no-worker-available', title: 'The workers of the zone are not known yet', retryAfterMilliseconds: initialRepairDelayMilliseconds,
				},
			}
			: {kind: 'json', status: 200, body: {findings: checkFeasibility(body as Lists, inventory)}};
	},
});
