import {Buffer} from 'node:buffer';
import {Agent, request} from 'undici';
import {parseJson, type Milliseconds} from '#core';
import {startSilenceTimeout} from './silence-timeout.js';

/** Result of an HTTP call. `never-sent` means that the request certainly did not reach the server; with `perhaps-sent` the server may have processed it. */
export type HttpResult =
	| Readonly<{kind: 'answered'; status: number; body: unknown}>
	| Readonly<{
		kind: 'failed';
		delivery: 'never-sent' | 'perhaps-sent';
		/** Present if no process accepts connections at the server's address. */
		isConnectionRefused?: true;
		message: string;
	}>;

export type HttpCallOptions = Readonly<{
	body?: unknown;
	/** Longest time without data from the server: until the response begins, and between two parts of it. */
	timeout: Milliseconds;
	signal?: AbortSignal;
	headers?: Readonly<Record<string, string>>;
}>;

export type HttpClient = Readonly<{
	send(method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, options: HttpCallOptions): Promise<HttpResult>;
	close(): Promise<void>;
}>;

const connectTimeoutMilliseconds = 2000;

const neverSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
Creates an HTTP client for JSON requests to one server.

@param origin - Example: `http://127.0.0.1:2379`.
@param connections - Maximum number of open connections.
*/
export function createHttpClient(origin: string, connections: number): HttpClient {
	const createDispatcher = () => new Agent({connections, connect: {timeout: connectTimeoutMilliseconds}});
	let dispatcher = createDispatcher();
	/** After a timeout the other open connections may be unresponsive as well, so later calls use a new dispatcher. */
	const replaceDispatcher = (unresponsive: Agent) => {
		if (dispatcher === unresponsive) {
			dispatcher = createDispatcher();
			void unresponsive.close();
		}
	};

	return {
		async send(method, path, {body, timeout, signal, headers}) {
			const currentDispatcher = dispatcher;
			const silence = startSilenceTimeout(timeout);
			const chunks: Buffer[] = [];
			try {
				const signals = [silence.signal, ...(signal === undefined ? [] : [signal])];
				const response = await request(`${origin}${path}`, {
					method,
					dispatcher: currentDispatcher,
					signal: AbortSignal.any(signals),
					headers: {...headers, ...(body === undefined ? {} : {'content-type': 'application/json'})},
					...(body === undefined ? {} : {body: JSON.stringify(body)}),
				});
				silence.restart();
				for await (const chunk of response.body) {
					silence.restart();
					chunks.push(chunk as Buffer);
				}

				const text = Buffer.concat(chunks).toString('utf8');
				return {kind: 'answered', status: response.statusCode, body: text === '' ? undefined : parseJson(text)};
			} catch (error) {
				if (silence.signal.aborted) {
					replaceDispatcher(currentDispatcher);
				}

				const {code, message} = error as Readonly<{code?: string; message: string}>;
				return {
					kind: 'failed',
					delivery: neverSentCodes.has(code ?? '') ? 'never-sent' : 'perhaps-sent',
					...(code === 'ECONNREFUSED' ? {isConnectionRefused: true} : {}),
					message: silence.signal.aborted ? `no data for ${timeout} ms, ${countBytes(chunks)} bytes of the response were received` : message,
				};
			} finally {
				silence.stop();
			}
		},
		async close() {
			await dispatcher.destroy();
		},
	};
}

function countBytes(chunks: readonly Buffer[]): number {
	return chunks.reduce((sum, {length}) => sum + length, 0);
}
