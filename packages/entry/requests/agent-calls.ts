import type {AgentAnswer, Place} from '#core';
import {calculateDeadlineDelay, type RequestEffect} from '#recovery';
import {estimateService} from '#routing';
import {routingService} from '../plugins/routing.js';
import {
	findRetryMilliseconds, findTimeoutMilliseconds, lookUpTimeoutMilliseconds, callTimeoutMarginMilliseconds, withdrawReconnectTimeoutMilliseconds,
} from './constants.js';
import {findPlace, waitForPlace} from './places.js';
import type {RequestContext} from './request-task.js';

/** Runs a request at an agent and waits for its final answer. */
export async function callAgent({dispatch, call}: Extract<RequestEffect, {kind: 'dispatch'}>, place: Place, {work, context, send}: RequestContext): Promise<void> {
	const {services, clock, counters} = context;
	const found = findPlace(context, place);
	if (found.kind !== 'connected') {
		send({
			kind: 'failed', dispatch, call, delivery: 'never-sent', reason: 'connection-lost',
		});
		return;
	}

	const routing = services.use(routingService);
	const {worker, incarnation} = place;
	const startedAt = clock.monotonic();
	const {serviceClass, estimatedMilliseconds} = estimateService(routing.read().times, work);
	routing.send({kind: 'dispatched', worker, serviceClass});
	const reply = await found.peer.call('request.run', {
		work, incarnation, serviceClass, estimatedMilliseconds,
	}, calculateDeadlineDelay(work, clock.now()) + callTimeoutMarginMilliseconds);
	counters.recordLatency('dispatch', clock.monotonic() - startedAt);
	if (reply.kind === 'failed') {
		routing.send({
			kind: 'ended', worker, serviceClass, end: 'not-started',
		});
		send({
			kind: 'failed', dispatch, call, delivery: reply.delivery, reason: reply.reason,
		});
		return;
	}

	routing.send({
		kind: 'ended', worker, serviceClass, end: readEnd(reply.result),
	});
	if (reply.result.kind === 'ran' && reply.result.result.status === 'succeeded') {
		routing.send({kind: 'observed', work, serviceMilliseconds: reply.result.result.serviceMilliseconds});
	} else if (reply.result.kind !== 'ran') {
		counters.countEvent(`agent-${reply.result.kind}-${reply.result.reason}`);
	}

	send({kind: 'answered', dispatch, answer: reply.result});
}

function readEnd(answer: AgentAnswer): 'succeeded' | 'failed' | 'not-started' {
	switch (answer.kind) {
		case 'ran': {
			return answer.result.status;
		}

		case 'interrupted': {
			return 'failed';
		}

		case 'refused': {
			return answer.reason === 'worker-failed' ? 'failed' : 'not-started';
		}
	}
}

/** Looks a dispatch up on the agent's next connection of the same incarnation. */
export async function findAtAgent(dispatch: number, place: Place, {work, context, send}: RequestContext): Promise<void> {
	const giveUpAt = context.clock.monotonic() + findTimeoutMilliseconds;
	for (let left = findTimeoutMilliseconds; left > 0; left = giveUpAt - context.clock.monotonic()) {
		const peer = await waitForPlace(context, place, left);
		if (peer === undefined) {
			break;
		}

		const reply = await peer.call('request.find', {requestId: work.requestId}, lookUpTimeoutMilliseconds);
		if (reply.kind === 'answered') {
			send({kind: 'found', dispatch, result: reply.result});
			return;
		}

		await new Promise<void>(resolve => {
			context.clock.schedule(findRetryMilliseconds, resolve);
		});
	}

	send({kind: 'gone', dispatch});
}

/** Asks an agent to refuse the request for good. */
export async function withdrawAtAgent(dispatch: number, place: Place, {work, context, send}: RequestContext): Promise<void> {
	const peer = await waitForPlace(context, place, withdrawReconnectTimeoutMilliseconds);
	const reply = await peer?.call('request.withdraw', {requestId: work.requestId, incarnation: place.incarnation}, lookUpTimeoutMilliseconds);
	send(reply?.kind === 'answered' ? {kind: 'withdrawn', dispatch, result: reply.result} : {kind: 'withdraw-failed', dispatch});
}
