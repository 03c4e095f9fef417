import * as valibot from 'valibot';
import type {Lists} from '#configuration';
import type {Finding} from '#core';
import {createHttpClient, type HttpResult} from '#transport';
import {callTimeoutMilliseconds} from './constants.js';
import {UnavailableError} from './errors.js';

const findingsSchema = valibot.object({findings: valibot.array(valibot.object({place: valibot.string(), message: valibot.string()}))});

/** Sends one call to an entry. */
export async function callEntry(origin: string, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<HttpResult> {
	const client = createHttpClient(origin, 1);
	try {
		return await client.send(method, path, {body, timeout: callTimeoutMilliseconds});
	} finally {
		await client.close();
	}
}

/** What an entry says about whether the guarantees fit the workers that are present. */
export type GuaranteeCheck =
	| Readonly<{kind: 'checked'; findings: readonly Finding[]}>
	/** The entry has no such check. */
	| Readonly<{kind: 'not-offered'}>;

/** @throws {UnavailableError} if the entry does not answer. */
export async function checkGuarantees(origin: string, {plans, allowances}: Lists): Promise<GuaranteeCheck> {
	const result = await callEntry(origin, 'POST', '/v1/configuration/check', {plans, allowances});
	if (result.kind === 'failed') {
		throw new UnavailableError(`entry ${origin}`, result.message);
	}

	if (result.status === 404 || result.status === 405) {
		return {kind: 'not-offered'};
	}

	const decoded = valibot.safeParse(findingsSchema, result.body);
	if (!decoded.success) {
		throw new UnavailableError(`check of entry ${origin}`, `status ${result.status}`);
	}

	return {kind: 'checked', findings: decoded.output.findings};
}
