/** A caller of the platform, by its published protocol, and the configuration that the tests' operator writes. */
import {request, type Dispatcher} from 'undici';

export const queueHost = 'queue.example';
export const apiKey = 'key-1';

const callTimeoutMilliseconds = 3000;

export type CallMethod = 'GET' | 'POST' | 'DELETE';
export type FrontAnswer = Readonly<{status: number; body: unknown; retryAfter?: string}>;

/** Sends a caller's request to an entry's front (host:port); undefined if no answer came. */
export async function callFront(front: string, method: CallMethod, path: string, options: Readonly<{body?: unknown; dispatcher?: Dispatcher; key?: string}> = {}): Promise<FrontAnswer | undefined> {
	const {body, dispatcher, key = apiKey} = options;
	try {
		const response = await request(`http://${front}${path}`, {
			method,
			headers: {
				host: queueHost, 'api-key': key, 'deadline-ms': String(callTimeoutMilliseconds), 'content-type': 'application/json',
			},
			...(dispatcher === undefined ? {} : {dispatcher, headersTimeout: callTimeoutMilliseconds, bodyTimeout: callTimeoutMilliseconds}),
			...(body === undefined ? {} : {body: JSON.stringify(body)}),
		});
		const retryAfter = response.headers['retry-after'];
		return {status: response.statusCode, body: await response.body.json(), ...(typeof retryAfter === 'string' ? {retryAfter} : {})};
	} catch {
		// No answer is what the caller sees of every failure of the connection.
		return undefined;
	}
}

/** A queue under `/name/`. */
export type QueueDescription = Readonly<{name: string; priority: number; attempts: number; stretch: number; targetMilliseconds: number}>;

/** Key of the store that the operator writes. */
export const manifestKey = 'op/config';
/** Prefix of the keys that close zones. */
export const evacuationPrefix = 'op/evacuate/';

export function describeManifest(version: number, queues: readonly QueueDescription[]): unknown {
	return {
		version,
		routes: queues.map(({name, priority, attempts, stretch, targetMilliseconds}) => ({
			name, host: queueHost, prefix: `/${name}/`, service: 'svc', priority, max_attempts: attempts, stretch, target_duration_ms: targetMilliseconds, public: false,
		})),
		tenants: [{name: 'tenant', api_keys: [apiKey], guaranteed: {gpus: 8}}],
	};
}

/** A small step as callers write it. */
export function describeStep(count: number, after: readonly number[]): unknown {
	return {
		count, cpu: 1000, mem_mb: 100, gpus: 1, estimate_ms: 800, after,
	};
}
