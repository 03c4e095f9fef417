import {Agent, request} from 'undici';
import type {Milliseconds} from '#core';

/** Result of an HTTP call. `never-sent` is certain; `perhaps-sent` leaves open whether the server acted on it. */
export type HttpResult =
	| Readonly<{kind: 'answered'; status: number; body: unknown}>
	| Readonly<{kind: 'failed'; delivery: 'never-sent' | 'perhaps-sent'; message: string}>;

export type HttpClient = Readonly<{
	send(method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, options: Readonly<{body?: unknown; timeout: Milliseconds; signal?: AbortSignal}>): Promise<HttpResult>;
	close(): Promise<void>;
}>;

const neverSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
Creates a JSON client of one server.

@param origin - Example: `http://127.0.0.1:2379`.
@param connections - Upper bound of open connections.
*/
export function createHttpClient(origin: string, connections: number): HttpClient {
	const dispatcher = new Agent({connections, connect: {timeout: 2000}});
	return {
		async send(method, path, {body, timeout, signal}) {
			try {
				const signals = [AbortSignal.timeout(timeout), ...(signal === undefined ? [] : [signal])];
				const response = await request(`${origin}${path}`, {
					method,
					dispatcher,
					signal: AbortSignal.any(signals),
					...(body === undefined ? {} : {headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
				});
				const text = await response.body.text();
				return {kind: 'answered', status: response.statusCode, body: text === '' ? undefined : JSON.parse(text)};
			} catch (error) {
				const {code, message} = error as Readonly<{code?: string; message: string}>;
				return {kind: 'failed', delivery: neverSentCodes.has(code ?? '') ? 'never-sent' : 'perhaps-sent', message};
			}
		},
		async close() {
			await dispatcher.destroy();
		},
	};
}
