import * as valibot from 'valibot';
import type {Milliseconds} from '#core';
import {createHttpClient, type HttpClient, type HttpResult} from '#transport';
import {
	maximumStoreConnections, storeTimeoutMilliseconds, storeWatchMarginMilliseconds,
} from './constants.js';
import type {
	KeyValueStore, LeaseReply, ListReply, ReadReply, StoreFailure, WatchReply, WriteReply,
} from './types.js';
import {
	conflictResponseSchema, watchResponseSchema, leaseResponseSchema, rateLimitResponseSchema, listResponseSchema, storedValueSchema, writeResponseSchema,
} from './response-schemas.js';

/**
Creates a client of the key-value service.

@param origin - Example: `http://10.0.0.5:2379`.
*/
export function createHttpStore(origin: string): KeyValueStore {
	return createStoreClient(createHttpClient(origin, maximumStoreConnections));
}

/** Creates a client of the key-value service on top of an HTTP client: encodes the calls and decodes the responses. */
export function createStoreClient(client: HttpClient): KeyValueStore {
	const send = async (method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown, timeout: Milliseconds = storeTimeoutMilliseconds) =>
		client.send(method, path, {body, timeout});
	const formatKeyPath = (key: string) => `/keys/${encodeURIComponent(key)}`;

	return {
		read: async key => decodeRead(await send('GET', formatKeyPath(key))),
		list: async prefix => decodeList(await send('GET', `/keys?prefix=${encodeURIComponent(prefix)}`)),
		write: async (key, value, options) => decodeWrite(await send('PUT', formatKeyPath(key), {value, ...options})),
		remove: async (key, expectedVersion) => decodeWrite(await send('DELETE', `${formatKeyPath(key)}?expectedVersion=${expectedVersion}`)),
		watch: async (prefix, afterRevision, wait) => decodeWatch(await send(
			'GET',
			`/watch?prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&wait=${wait}`,
			undefined,
			wait + storeWatchMarginMilliseconds,
		)),
		grantLease: async timeToLiveMilliseconds => decodeLease(await send('POST', '/leases', {timeToLiveMilliseconds})),
		renewLease: async lease => decodeLease(await send('POST', `/leases/${encodeURIComponent(lease)}/renew`, {})),
		revokeLease: async lease => decodeLease(await send('DELETE', `/leases/${encodeURIComponent(lease)}`)),
		close: async () => client.close(),
	};
}

/** Converts an unsuccessful result. Nothing was applied if the request was never sent, or on a rejection (4xx) or an outage (503); any other outcome is uncertain. */
export function toFailure(result: HttpResult): StoreFailure {
	if (result.kind === 'failed') {
		return {kind: 'unavailable', effect: result.delivery === 'never-sent' ? 'not-applied' : 'perhaps-applied', message: result.message};
	}

	const rateLimit = valibot.safeParse(rateLimitResponseSchema, result.body);
	const retryAfterMilliseconds = rateLimit.success ? rateLimit.output.retryAfterMilliseconds : undefined;
	const isRejected = (result.status >= 400 && result.status < 500) || result.status === 503;
	return {
		kind: 'unavailable',
		effect: isRejected ? 'not-applied' : 'perhaps-applied',
		message: `status ${result.status}`,
		...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
	};
}

function decodeRead(result: HttpResult): ReadReply {
	if (result.kind === 'answered' && result.status === 404) {
		return {kind: 'absent'};
	}

	const stored = decodeBody(result, 200, storedValueSchema);
	return stored === undefined ? toFailure(result) : {kind: 'found', stored};
}

function decodeList(result: HttpResult): ListReply {
	const listed = decodeBody(result, 200, listResponseSchema);
	return listed === undefined ? toFailure(result) : {kind: 'listed', ...listed};
}

function decodeWrite(result: HttpResult): WriteReply {
	const written = decodeBody(result, 200, writeResponseSchema);
	if (written !== undefined) {
		return {kind: 'written', version: written.version};
	}

	const conflict = decodeBody(result, 409, conflictResponseSchema);
	if (conflict !== undefined) {
		return {kind: 'conflict', current: conflict.current ?? undefined};
	}

	return result.kind === 'answered' && result.status === 410 ? {kind: 'lease-unknown'} : toFailure(result);
}

function decodeWatch(result: HttpResult): WatchReply {
	if (result.kind === 'answered' && result.status === 410) {
		return {kind: 'compacted'};
	}

	const events = decodeBody(result, 200, watchResponseSchema);
	return events === undefined ? toFailure(result) : {kind: 'events', ...events};
}

function decodeLease(result: HttpResult): LeaseReply {
	if (result.kind === 'answered' && result.status === 404) {
		return {kind: 'lease-unknown'};
	}

	const lease = decodeBody(result, 200, leaseResponseSchema);
	return lease === undefined ? toFailure(result) : {kind: 'granted', lease: lease.lease};
}

/** Decodes the body of a response with the given status; undefined for any other result. */
export function decodeBody<Schema extends valibot.GenericSchema>(result: HttpResult, status: number, schema: Schema): valibot.InferOutput<Schema> | undefined {
	if (result.kind !== 'answered' || result.status !== status) {
		return undefined;
	}

	const decoded = valibot.safeParse(schema, result.body);
	return decoded.success ? decoded.output : undefined;
}
