import * as valibot from 'valibot';
import {storePlugins} from '../plugins.js';
import {callStore} from '../call.js';

const bodySchema = valibot.object({timeToLiveMilliseconds: valibot.pipe(valibot.number(), valibot.minValue(1))});

storePlugins.register({
	kind: 'http-route',
	name: 'grant-lease',
	method: 'POST',
	path: '/leases',
	bodySchema,
	async handle({body}, {store}) {
		const {timeToLiveMilliseconds} = body as valibot.InferOutput<typeof bodySchema>;
		return callStore(store, {kind: 'grant-lease', timeToLive: timeToLiveMilliseconds});
	},
});
