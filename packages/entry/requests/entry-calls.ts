import type {EntryId, RequestWork} from '#core';
import {calculateDeadlineDelay, type RequestEffect, type RequestMessage} from '#recovery';
import {linkService} from '../plugins/forwarding.js';
import type {EntryContext} from '../types.js';
import {queryTimeoutMilliseconds, callTimeoutMarginMilliseconds} from './constants.js';
import {forwardTargetsService, orderForwardTargets, type ForwardTarget} from './forwarding.js';
import type {RequestContext} from './request-task.js';

function findEntry({services}: EntryContext, entry: EntryId): ForwardTarget | undefined {
	return services.use(forwardTargetsService).list().find(target => target.entry === entry && target.peer.isOpen());
}

/** Chooses an entry of another zone. An entry of another region is chosen only if the link's byte limit allows the request. */
export async function chooseEntry(work: RequestWork, context: EntryContext, send: (message: RequestMessage) => void): Promise<void> {
	const {services, settings, random} = context;
	const targets = orderForwardTargets(services.use(forwardTargetsService).list().filter(({peer}) => peer.isOpen()), settings, random);
	const target = targets[0];
	if (target === undefined) {
		send({kind: 'none-available', reason: 'no-worker-available'});
		return;
	}

	const isAllowed = target.region === settings.region || await services.use(linkService).reserve(JSON.stringify(work).length);
	send(isAllowed ? {kind: 'chosen', target: {kind: 'entry', entry: target.entry}} : {kind: 'none-available', reason: 'link-limited'});
}

/** Forwards a request to an entry of another zone, which does not forward it again. */
export async function forwardToEntry({dispatch, call}: Extract<RequestEffect, {kind: 'dispatch'}>, entry: EntryId, {work, context, send}: RequestContext): Promise<void> {
	const target = findEntry(context, entry);
	if (target === undefined) {
		send({
			kind: 'failed', dispatch, call, delivery: 'never-sent', reason: 'connection-lost',
		});
		return;
	}

	const isOtherRegion = target.region !== context.settings.region;
	context.counters.countEvent(isOtherRegion ? 'forwarded-between-regions' : 'forwarded-within-region');
	const reply = await target.peer.call('peer.forward', {
		work, from: context.settings.entry, hops: 1,
	}, calculateDeadlineDelay(work, context.clock.now()) + callTimeoutMarginMilliseconds);
	if (isOtherRegion && reply.kind === 'answered') {
		context.services.use(linkService).charge(JSON.stringify(reply.result).length);
	}

	send(reply.kind === 'failed'
		? {
			kind: 'failed', dispatch, call, delivery: reply.delivery, reason: reply.reason,
		}
		: {kind: 'answered', dispatch, answer: reply.result});
}

/** Withdraws a forwarded request at the entry that it was forwarded to. */
export async function withdrawAtEntry(dispatch: number, entry: EntryId, {work, context, send}: RequestContext): Promise<void> {
	// The entry resolves the place itself; the entry's name stands in for the agent's incarnation, which the message requires.
	const incarnation: string = entry;
	const reply = await findEntry(context, entry)?.peer.call('request.withdraw', {requestId: work.requestId, incarnation}, queryTimeoutMilliseconds);
	send(reply?.kind === 'answered' ? {kind: 'withdrawn', dispatch, result: reply.result} : {kind: 'withdraw-failed', dispatch});
}
