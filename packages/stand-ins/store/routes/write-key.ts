import * as valibot from 'valibot';
import {storePlugins} from '../plugins.js';
import {callStore} from '../call.js';

const bodySchema = valibot.object({
	value: valibot.unknown(),
	expectedVersion: valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(0)),
	lease: valibot.optional(valibot.string()),
});

storePlugins.register({
	kind: 'http-route',
	name: 'write-key',
	method: 'PUT',
	path: '/keys/:key',
	bodySchema,
	async handle({parameters, body}, {store}) {
		const {value, expectedVersion, lease} = body as valibot.InferOutput<typeof bodySchema>;
		return callStore(store, {
			kind: 'write', key: parameters['key'] ?? '', value, expectedVersion, lease,
		});
	},
});
