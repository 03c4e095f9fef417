import {
	assertNever, type Outcome, type Place, type RefusalReason, type RequestWork,
} from '#core';
import {startTask, type TaskHandle} from '#kernel';
import {
	createRequestState, isSettled, receiveRequestMessage, type StoredClaim, type RequestEffect, type RequestMessage, type RequestState,
	type Target,
} from '#recovery';
import {chooseWorker, estimateService} from '#routing';
import {claimsService} from '../plugins/claims.js';
import {membershipService} from '../plugins/membership.js';
import {routingService} from '../plugins/routing.js';
import type {EntryContext} from '../types.js';
import {
	dispatchToAgent, findAtAgent, withdrawAtAgent,
} from './agent-calls.js';
import {forwardToEntry, chooseEntry, withdrawAtEntry} from './entry-calls.js';
import {forwardTargetsService} from './forwarding.js';
import {createCandidateSource} from './places.js';

export type RequestHandle = TaskHandle<RequestState, RequestMessage>;

/** Receives the events of a request task on behalf of the request table. */
export type RequestListener = Readonly<{
	onAnswered(outcome: Outcome): void;
	onRecorded(outcome: Outcome): void;
	onCancelRefused(): void;
	onRetryRequested(reason: RefusalReason): void;
	onSettled(): void;
}>;

export type RequestOptions = Readonly<{
	work: RequestWork;
	isRetry: boolean;
	mayForward: boolean;
	/** Identifies this request task in the request's claim; unique across all entries and their restarts. */
	owner: string;
}>;

/** Starts the task of one request. The task stops once the request is settled. */
export function startRequestTask(options: RequestOptions, context: EntryContext, listener: RequestListener): RequestHandle {
	const timerCancels = new Set<() => void>();
	let isFinished = false;
	const request: RequestHandle = startTask(
		{name: 'request', initialState: createRequestState(options.work, options.isRetry), receive: receiveRequestMessage},
		{
			clock: context.clock,
			perform(effect, sendToTask) {
				const send = (message: RequestMessage) => {
					if (!isFinished) {
						sendToTask(message);
					}
				};

				if (effect.kind === 'schedule') {
					timerCancels.add(context.clock.schedule(effect.delay, () => {
						send(effect.message);
					}));
				} else {
					performRequestEffect(effect, {
						...options, send, listener, context,
					});
				}
			},
		},
	);
	request.subscribe(state => {
		if (!isFinished && isSettled(state)) {
			isFinished = true;
			for (const cancel of timerCancels) {
				cancel();
			}

			listener.onSettled();
			// Deferred until the effects of the message that settled the request have been performed.
			queueMicrotask(request.stop);
		}
	});
	request.send({kind: 'submitted'});
	return request;
}

export type RequestContext = RequestOptions & Readonly<{listener: RequestListener; context: EntryContext; send(message: RequestMessage): void}>;

function performRequestEffect(effect: Exclude<RequestEffect, {kind: 'schedule'}>, request: RequestContext): void {
	switch (effect.kind) {
		case 'choose': {
			chooseTarget(effect, request);
			break;
		}

		case 'claim': {
			void claim(effect, request);
			break;
		}

		case 'dispatch': {
			void (effect.target.kind === 'agent' ? dispatchToAgent(effect, effect.target.place, request) : forwardToEntry(effect, effect.target.entry, request));
			break;
		}

		case 'find': {
			if (effect.target.kind === 'agent') {
				void findAtAgent(effect.dispatch, effect.target.place, request);
			} else {
				request.send({kind: 'gone', dispatch: effect.dispatch});
			}

			break;
		}

		case 'withdraw': {
			void (effect.target.kind === 'agent'
				? withdrawAtAgent(effect.dispatch, effect.target.place, request)
				: withdrawAtEntry(effect.dispatch, effect.target.entry, request));
			break;
		}

		case 'request-retry': {
			request.listener.onRetryRequested(effect.reason);
			break;
		}

		case 'answer': {
			request.listener.onAnswered(effect.outcome);
			break;
		}

		case 'record': {
			request.listener.onRecorded(effect.outcome);
			break;
		}

		case 'refuse-cancel': {
			request.listener.onCancelRefused();
			break;
		}

		default: {
			assertNever(effect);
		}
	}
}

function chooseTarget({excluded, mayForward}: Extract<RequestEffect, {kind: 'choose'}>, request: RequestContext): void {
	const {context, send, work} = request;
	const {serviceClass} = estimateService(context.services.use(routingService).read().times, work);
	const chosen = chooseWorker(createCandidateSource(context, excluded), serviceClass, context.random);
	const place = chosen === undefined ? undefined : findCurrentPlace(chosen.worker, context);
	if (place !== undefined) {
		send({kind: 'chosen', target: {kind: 'agent', place, zone: context.settings.zone}});
	} else if (mayForward && request.mayForward) {
		void chooseEntry(work, context, send);
	} else {
		send({kind: 'none-available', reason: 'no-worker-available'});
	}
}

function findCurrentPlace(worker: Place['worker'], context: EntryContext): Place | undefined {
	const agent = context.services.use(membershipService).read().agents.get(worker);
	return agent === undefined ? undefined : {worker, incarnation: agent.incarnation};
}

async function claim({target, from}: Extract<RequestEffect, {kind: 'claim'}>, {work, owner, mayForward, context, send}: RequestContext): Promise<void> {
	if (target.kind !== 'agent') {
		return;
	}

	const {place, zone} = target;
	const result = await context.services.use(claimsService).claim({requestId: work.requestId, claim: {place, zone, owner}, from});
	if (result.kind === 'unavailable') {
		context.counters.countEvent(`claim-${result.effect}`);
		send({kind: 'claim-refused', reason: 'claim-unavailable'});
		return;
	}

	const stored: StoredClaim = {place: result.claim.place, zone: result.claim.zone, isOwner: result.claim.owner === owner};
	send({kind: 'claimed', claim: stored, target: resolveClaimTarget(stored, mayForward, context)});
}

/** Resolves a claim to a target: for a place in another zone a known entry of that zone, unless the request was itself forwarded; else the agent. */
function resolveClaimTarget({place, zone}: StoredClaim, mayForward: boolean, context: EntryContext): Target {
	const entry = zone === context.settings.zone || !mayForward
		? undefined
		: context.services.use(forwardTargetsService).list().find(target => target.zone === zone);
	return entry === undefined ? {kind: 'agent', place, zone} : {kind: 'entry', entry: entry.entry};
}
