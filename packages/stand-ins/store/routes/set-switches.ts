import * as valibot from 'valibot';
import {storePlugins} from '../plugins.js';
import {sendToStore} from '../call.js';
import type {StoreSwitches} from '../types.js';

const countSchema = valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0)));
const bodySchema = valibot.strictObject({
	outage: valibot.optional(valibot.boolean()),
	hang: valibot.optional(valibot.boolean()),
	slownessMilliseconds: countSchema,
	loseWriteAnswers: countSchema,
	writesPerSecond: countSchema,
	readsPerSecond: countSchema,
	historyLimit: countSchema,
});

storePlugins.register({
	kind: 'http-route',
	name: 'set-switches',
	method: 'POST',
	path: '/switches',
	bodySchema,
	handle: async ({body}, {store}) => sendToStore(store, respond => ({kind: 'set-switches', switches: body as Partial<StoreSwitches>, respond})),
});
