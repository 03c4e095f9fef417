import type {EntryId, RequestWork} from '#core';
import {calculateDeadlineDelay, type RequestEffect, type RequestMessage} from '#recovery';
import {linkService} from '../plugins/forwarding.js';
import type {EntryContext} from '../types.js';
import {lookUpTimeoutMilliseconds, callTimeoutMarginMilliseconds} from './constants.js';
import {forwardTargetsService, orderForwardTargets, type ForwardTarget} from './forwarding.js';
import type {RequestContext} from './request-task.js';

function findEntry({services}: EntryContext, entry: EntryId): ForwardTarget | undefined {
	return services.use(forwardTargetsService).list().find(target => target.entry === entry && target.peer.isOpen());
}

/** Chooses an entry of another zone; one of another region only if the link has room for the request. */
export async function chooseEntry(work: RequestWork, context: EntryContext, send: (message: RequestMessage) => void): Promise<void> {
	const {services, settings, random} = context;
	const targets = orderForwardTargets(services.use(forwardTargetsService).list().filter(({peer}) => peer.isOpen()), settings, random);
	const target = targets[0];
	if (target === undefined) {
		send({kind: 'none-available', reason: 'no-worker-available'});
		return;
	}

	const isAllowed = target.region === settings.region || await services.use(linkService).take(JSON.stringify(work).length);
	send(isAllowed ? {kind: 'chosen', target: {kind: 'entry', entry: target.entry}} : {kind: 'none-available', reason: 'link-limited'});
}

/** Forwards a request to an entry of another zone, which forwards it no further. */
export async function callEntry({dispatch, call}: Extract<RequestEffect, {kind: 'dispatch'}>, entry: EntryId, {work, context, send}: RequestContext): Promise<void> {
	const target = findEntry(context, entry);
	if (target === undefined) {
		send({
			kind: 'failed', dispatch, call, delivery: 'never-sent', reason: 'connection-lost',
		});
		return;
	}

	const isOverLink = target.region !== context.settings.region;
	context.counters.countEvent(isOverLink ? 'forwarded-between-regions' : 'forwarded-within-region');
	const reply = await target.peer.call('peer.forward', {
		work, from: context.settings.entry, hops: 1,
	}, calculateDeadlineDelay(work, context.clock.now()) + callTimeoutMarginMilliseconds);
	if (isOverLink && reply.kind === 'answered') {
		context.services.use(linkService).charge(JSON.stringify(reply.result).length);
	}

	send(reply.kind === 'failed'
		? {
			kind: 'failed', dispatch, call, delivery: reply.delivery, reason: reply.reason,
		}
		: {kind: 'answered', dispatch, answer: reply.result});
}

/** Asks an entry to withdraw a request that was forwarded to it. */
export async function withdrawAtEntry(dispatch: number, entry: EntryId, {work, context, send}: RequestContext): Promise<void> {
	// The entry knows the place; the message names the entry where an agent's incarnation would stand.
	const incarnation: string = entry;
	const reply = await findEntry(context, entry)?.peer.call('request.withdraw', {requestId: work.requestId, incarnation}, lookUpTimeoutMilliseconds);
	send(reply?.kind === 'answered' ? {kind: 'withdrawn', dispatch, result: reply.result} : {kind: 'withdraw-failed', dispatch});
}
