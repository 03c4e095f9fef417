import {Agent, request} from 'undici';
import type {Milliseconds} from '#core';

/** Result of an HTTP call. `never-sent` is certain; `perhaps-sent` leaves open whether the server acted on it. */
export type HttpResult =
	| Readonly<{kind: 'answered'; status: number; body: unknown}>
	| Readonly<{kind: 'failed'; delivery: 'never-sent' | 'perhaps-sent'; message: string}>;

export type HttpCallOptions = Readonly<{body?: unknown; timeout: Milliseconds; signal?: AbortSignal; headers?: Readonly<Record<string, string>>}>;

export type HttpClient = Readonly<{
	send(method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, options: HttpCallOptions): Promise<HttpResult>;
	close(): Promise<void>;
}>;

/** How long opening a connection may take. */
const connectTimeoutMilliseconds = 2000;

const neverSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
Creates a JSON client of one server.

@param origin - Example: `http://127.0.0.1:2379`.
@param connections - Upper bound of open connections.
*/
export function createHttpClient(origin: string, connections: number): HttpClient {
	const open = () => new Agent({connections, connect: {timeout: connectTimeoutMilliseconds}});
	let dispatcher = open();
	/** After a call without an answer, the other open connections may be silent as well; later calls use new ones. */
	const replace = (silent: Agent) => {
		if (dispatcher === silent) {
			dispatcher = open();
			void silent.close();
		}
	};

	return {
		async send(method, path, {body, timeout, signal, headers}) {
			const used = dispatcher;
			const expiry = AbortSignal.timeout(timeout);
			try {
				const signals = [expiry, ...(signal === undefined ? [] : [signal])];
				const response = await request(`${origin}${path}`, {
					method,
					dispatcher: used,
					signal: AbortSignal.any(signals),
					headers: {...headers, ...(body === undefined ? {} : {'content-type': 'application/json'})},
					...(body === undefined ? {} : {body: JSON.stringify(body)}),
				});
				const text = await response.body.text();
				return {kind: 'answered', status: response.statusCode, body: text === '' ? undefined : JSON.parse(text)};
			} catch (error) {
				if (expiry.aborted) {
					replace(used);
				}

				const {code, message} = error as Readonly<{code?: string; message: string}>;
				return {kind: 'failed', delivery: neverSentCodes.has(code ?? '') ? 'never-sent' : 'perhaps-sent', message};
			}
		},
		async close() {
			await dispatcher.destroy();
		},
	};
}
