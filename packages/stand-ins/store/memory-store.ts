import {checkInput, type Milliseconds} from '#core';
import type {Clock, HttpReply} from '#kernel';
import {createStoreClient, type KeyValueStore} from '#store';
import {matchRoute, type HttpClient, type HttpResult} from '#transport';
import {sendToStore} from './call.js';
import {storePlugins} from './plugins.js';
import './routes/index.js';
import {startStoreTask} from './task.js';
import type {StoreSwitches} from './types.js';

/** Response body of `GET /calls`. */
export type CallCount = Readonly<{total: number; refused: number; waitingWatches: number; byKind: Readonly<Record<string, number>>}>;

/** In-process stand-in key-value service that runs on a given clock. */
export type MemoryStore = Readonly<{
	/** Creates a client whose calls go through the service routes without a socket. */
	connect(): KeyValueStore;
	setSwitches(switches: Partial<StoreSwitches>): Promise<void>;
	countCalls(): Promise<CallCount>;
}>;

/**
Creates an in-process stand-in service for tests and benchmarks on virtual time.

@example
```
const clock = createVirtualClock();
const memory = createMemoryStore(clock);
const store = memory.connect();
```
*/
export function createMemoryStore(clock: Clock): MemoryStore {
	const store = startStoreTask(clock);
	const client: HttpClient = {
		send: async (method, path, {body, timeout}) => withTimeout(clock, timeout, async signal => {
			const url = new URL(path, 'http://localhost');
			const match = matchRoute(storePlugins.httpRoutes(), method, url.pathname);
			if (match.kind !== 'matched') {
				return toResult({kind: 'json', status: 404, body: {}});
			}

			const checked = match.route.bodySchema === undefined
				? {kind: 'valid' as const, value: undefined}
				: checkInput(match.route.bodySchema, body);
			return checked.kind === 'invalid'
				? toResult({kind: 'json', status: 400, body: {}})
				: toResult(await match.route.handle({
					parameters: match.parameters, query: url.searchParams, body: checked.value, signal,
				}, {store}));
		}),
		async close() {/* No connection to close. */},
	};
	return {
		connect: () => createStoreClient(client),
		async setSwitches(switches) {
			await sendToStore(store, respond => ({kind: 'set-switches', switches, respond}));
		},
		async countCalls() {
			const reply = await sendToStore(store, respond => ({kind: 'count-calls', respond}));
			return (reply as Extract<HttpReply, {kind: 'json'}>).body as CallCount;
		},
	};
}

/** Copies the body, as a socket would, so that client and service share no objects. */
function toResult(reply: HttpReply): HttpResult {
	return reply.kind === 'json'
		? {kind: 'answered', status: reply.status, body: structuredClone(reply.body)}
		: {kind: 'failed', delivery: 'perhaps-sent', message: 'not JSON'};
}

async function withTimeout(clock: Clock, timeout: Milliseconds, call: (signal: AbortSignal) => Promise<HttpResult>): Promise<HttpResult> {
	const abort = new AbortController();
	return new Promise(resolve => {
		const cancel = clock.schedule(timeout, () => {
			abort.abort();
			resolve({kind: 'failed', delivery: 'perhaps-sent', message: 'timed out'});
		});
		void (async () => {
			const result = await call(abort.signal);
			cancel();
			resolve(result);
		})();
	});
}
