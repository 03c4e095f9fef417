import type {AgentAnswer, Place} from '#core';
import {calculateDeadlineDelay, type RequestEffect} from '#recovery';
import {estimateService} from '#routing';
import {routingService} from '../plugins/routing.js';
import {
	findRetryMilliseconds, findTimeoutMilliseconds, queryTimeoutMilliseconds, callTimeoutMarginMilliseconds, withdrawReconnectTimeoutMilliseconds,
} from './constants.js';
import {findConnection, waitForConnection} from './places.js';
import type {RequestContext} from './request-task.js';

/** Dispatches a request to an agent and waits for the result. */
export async function dispatchToAgent({dispatch, call}: Extract<RequestEffect, {kind: 'dispatch'}>, place: Place, {work, context, send}: RequestContext): Promise<void> {
	const {services, clock, counters} = context;
	const connection = findConnection(context, place);
	if (connection.kind !== 'connected') {
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
	const reply = await connection.peer.call('request.run', {
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
		kind: 'ended', worker, serviceClass, end: classifyAnswer(reply.result),
	});
	if (reply.result.kind === 'ran' && reply.result.result.status === 'succeeded') {
		routing.send({kind: 'observed', work, serviceMilliseconds: reply.result.result.serviceMilliseconds});
	} else if (reply.result.kind !== 'ran') {
		counters.countEvent(`agent-${reply.result.kind}-${reply.result.reason}`);
	}

	send({kind: 'answered', dispatch, answer: reply.result});
}

function classifyAnswer(answer: AgentAnswer): 'succeeded' | 'failed' | 'not-started' {
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

/** Queries the agent for a dispatch over its next connection with the same incarnation. */
export async function findAtAgent(dispatch: number, place: Place, {work, context, send}: RequestContext): Promise<void> {
	const deadline = context.clock.monotonic() + findTimeoutMilliseconds;
	for (let remaining = findTimeoutMilliseconds; remaining > 0; remaining = deadline - context.clock.monotonic()) {
		const peer = await waitForConnection(context, place, remaining);
		if (peer === undefined) {
			break;
		}

		const reply = await peer.call('request.find', {requestId: work.requestId}, queryTimeoutMilliseconds);
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

/** Withdraws a request at its agent. One that has not started is then refused there, also if it arrives only later. */
export async function withdrawAtAgent(dispatch: number, place: Place, {work, context, send}: RequestContext): Promise<void> {
	const peer = await waitForConnection(context, place, withdrawReconnectTimeoutMilliseconds);
	const reply = await peer?.call('request.withdraw', {requestId: work.requestId, incarnation: place.incarnation}, queryTimeoutMilliseconds);
	send(reply?.kind === 'answered' ? {kind: 'withdrawn', dispatch, result: reply.result} : {kind: 'withdraw-failed', dispatch});
}
