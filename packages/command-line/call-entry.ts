import {createHttpClient, type HttpResult} from '#transport';
import {callTimeoutMilliseconds} from './constants.js';

/** Sends one HTTP request to an entry. */
export async function callEntry(origin: string, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<HttpResult> {
	const client = createHttpClient(origin, 1);
	try {
		return await client.send(method, path, {body, timeout: callTimeoutMilliseconds});
	} finally {
		await client.close();
	}
}
