import * as valibot from 'valibot';
import {
	checkInput, incarnationSchema, requestIdSchema, workerIdSchema, zoneNameSchema, type CheckResult,
} from '#core';
import type {ClaimBook, ClaimValue} from './claim-types.js';

const claimValueSchema = valibot.object({
	claims: valibot.record(requestIdSchema, valibot.object({
		worker: workerIdSchema, incarnation: incarnationSchema, zone: zoneNameSchema, owner: valibot.string(),
	})),
});

export function encodeClaims(book: ClaimBook): ClaimValue {
	return {
		claims: Object.fromEntries([...book].map(([requestId, {place, zone, owner}]) => [requestId, {...place, zone, owner}])),
	};
}

export function decodeClaims(value: unknown, key: string): CheckResult<ClaimBook> {
	const checked = checkInput(claimValueSchema, value, key);
	return checked.kind === 'invalid'
		? checked
		: {
			kind: 'valid',
			value: new Map(Object.entries(checked.value.claims).map(([requestId, {worker, incarnation, zone, owner}]) =>
				[valibot.parse(requestIdSchema, requestId), {place: {worker, incarnation}, zone, owner}])),
		};
}
