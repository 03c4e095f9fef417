import * as valibot from 'valibot';
import {requestIdSchema, type RequestId} from '#core';
import type {HttpReply} from '#kernel';
import {formatClaimKey, decodeClaims, readIdentifierTime} from '#recovery';
import {entryPlugins} from '../plugins.js';
import {queryTimeoutMilliseconds} from '../requests/constants.js';
import {findConnection} from '../requests/places.js';
import {
	encodeAbsent, encodeFindings, encodeKnownOutcome, encodeInFlight,
} from '../requests/reply.js';
import {findEnded, findInFlight} from '../requests/table.js';
import type {EntryContext} from '../types.js';
import {requestsService} from './requests.js';
import {storeService} from './store.js';

entryPlugins.register({
	kind: 'http-route',
	name: 'find-request',
	method: 'GET',
	path: '/v1/requests/:requestId',
	async handle({parameters}, context) {
		const checked = valibot.safeParse(requestIdSchema, parameters['requestId']);
		return checked.success ? findRequest(checked.output, context) : encodeFindings([{place: 'requestId', message: 'must be a UUID'}]);
	},
});

async function findRequest(requestId: RequestId, context: EntryContext): Promise<HttpReply> {
	const state = context.services.use(requestsService).read();
	if (findInFlight(state, requestId) !== undefined) {
		return encodeInFlight(requestId, 200);
	}

	const ended = findEnded(state, requestId);
	if (ended !== undefined && ended.outcome.kind !== 'unknown') {
		return encodeKnownOutcome(requestId, ended.outcome);
	}

	// Another entry may have dispatched the request; its claim records the place.
	const claimed = await findAtClaimedPlace(requestId, context);
	if (claimed !== undefined) {
		return claimed;
	}

	return ended === undefined ? encodeAbsent(requestId) : encodeKnownOutcome(requestId, ended.outcome);
}

/** Queries the place recorded in the claim of a non-idempotent request. A refusal there does not prove that the request did not run, as the claim may have moved since. */
async function findAtClaimedPlace(requestId: RequestId, context: EntryContext): Promise<HttpReply | undefined> {
	if (readIdentifierTime(requestId) === undefined) {
		return undefined;
	}

	const key = formatClaimKey(requestId);
	const reply = await context.services.use(storeService).read(key);
	const claims = reply.kind === 'found' ? decodeClaims(reply.stored.value, key) : undefined;
	const claim = claims?.kind === 'valid' ? claims.value.get(requestId) : undefined;
	const place = claim === undefined ? undefined : findConnection(context, claim.place);
	if (place?.kind !== 'connected') {
		return claim === undefined ? undefined : encodeKnownOutcome(requestId, {kind: 'unknown', reason: 'connection-lost'});
	}

	const found = await place.peer.call('request.find', {requestId}, queryTimeoutMilliseconds);
	if (found.kind === 'failed') {
		return encodeKnownOutcome(requestId, {kind: 'unknown', reason: found.reason});
	}

	switch (found.result.kind) {
		case 'queued':
		case 'running': {
			return encodeInFlight(requestId, 200);
		}

		case 'never-seen': {
			return encodeKnownOutcome(requestId, {kind: 'unknown', reason: 'connection-lost'});
		}

		case 'answered': {
			const {answer} = found.result;
			return encodeKnownOutcome(requestId, answer.kind === 'ran' ? {kind: 'completed', result: answer.result} : {kind: 'unknown', reason: answer.reason});
		}
	}
}
