/** Model of an entry that performs the effects of the production state machines on the modelled network and store. */
import type {
	Outcome, Place, RandomSource, RequestId, RequestWork, ZoneName,
} from '#core';
import type {Clock} from '#kernel';
import {earnRetry, initialRetryBudget, spendRetry} from '#limits';
import {
	createRequestState, receiveRequestMessage, type RequestEffect, type RequestMessage, type RequestState, type Target,
} from '#recovery';
import type {ModelNetwork} from './model-network.js';
import {ModelClaims, type ModelStore} from './model-store.js';

/** The complete protocol, or a simplified one that omits one of its parts. */
export type Variant = 'complete' | 'no-claims' | 'blind-retry' | 'assumes-written' | 'assumes-withdrawn';

export type Submission = Readonly<{number: number; requestId: RequestId; idempotent: boolean; entry: ModelEntry; answers: Outcome[]}>;

export type EntryServices = Readonly<{name: string; variant: Variant; network: ModelNetwork; store: ModelStore; clock: Clock; random: RandomSource}>;

const zone = 'north-a' as ZoneName;

export class ModelEntry {
	isUp = true;
	readonly network: ModelNetwork;
	private readonly services: EntryServices;
	private readonly claims: ModelClaims;
	private readonly requests = new Map<Submission, RequestState>();
	private budget = initialRetryBudget;

	constructor(services: EntryServices) {
		this.services = services;
		this.network = services.network;
		this.claims = new ModelClaims({...services, assumesWritten: services.variant === 'assumes-written', isUp: () => this.isUp});
	}

	submit(submission: Submission, work: RequestWork, isRetry: boolean): void {
		this.budget = earnRetry(this.budget, work.plan);
		this.requests.set(submission, createRequestState(work, isRetry));
		this.send(submission, {kind: 'submitted'});
	}

	send(submission: Submission, message: RequestMessage): void {
		const state = this.requests.get(submission);
		if (!this.isUp || state === undefined) {
			return;
		}

		const step = receiveRequestMessage(state, message, {now: this.services.clock.now()});
		this.requests.set(submission, step.state);
		for (const effect of step.effects) {
			this.perform(submission, effect, step.state.work);
		}
	}

	private perform(submission: Submission, effect: RequestEffect, work: RequestWork): void {
		const send = (message: RequestMessage) => {
			this.send(submission, message);
		};

		switch (effect.kind) {
			case 'choose': {
				const place = this.network.pick(effect.excluded);
				send(place === undefined ? {kind: 'none-available', reason: 'no-worker-available'} : {kind: 'chosen', target: {kind: 'agent', place, zone}});
				break;
			}

			case 'claim': {
				this.claim(submission, effect, send);
				break;
			}

			case 'dispatch':
			case 'find':
			case 'withdraw': {
				if (effect.target.kind === 'agent') {
					this.call(submission, {...effect, place: effect.target.place, work});
				}

				break;
			}

			case 'request-retry': {
				const {isAllowed, budget} = spendRetry(this.budget, work.plan);
				this.budget = budget;
				send(isAllowed ? {kind: 'retry-granted', jitter: this.services.random()} : {kind: 'retry-denied'});
				break;
			}

			case 'schedule': {
				this.services.clock.schedule(effect.delay, () => {
					send(effect.message);
				});
				break;
			}

			case 'answer': {
				submission.answers.push(effect.outcome);
				break;
			}

			case 'refuse-cancel':
			case 'record': {
				break;
			}
		}
	}

	private claim({requestId, number}: Submission, {target, from}: Extract<RequestEffect, {kind: 'claim'}>, send: (message: RequestMessage) => void): void {
		const owner = `${this.services.name}/${number}`;
		if (target.kind !== 'agent') {
			return;
		}

		if (this.services.variant === 'no-claims') {
			send({kind: 'claimed', claim: {place: target.place, zone, isOwner: true}, target});
			return;
		}

		this.claims.claim({requestId, claim: {place: target.place, zone, owner}, from}, result => {
			if (result.kind === 'unavailable') {
				send({kind: 'claim-refused', reason: 'claim-unavailable'});
				return;
			}

			const {place, owner: claimOwner} = result.claim;
			const held: Target = {kind: 'agent', place, zone};
			send({kind: 'claimed', claim: {place, zone, isOwner: claimOwner === owner}, target: held});
		});
	}

	private call(
		submission: Submission,
		effect: Extract<RequestEffect, {kind: 'dispatch' | 'find' | 'withdraw'}> & Readonly<{place: Place; work: RequestWork}>,
	): void {
		const {network, variant} = this.services;
		const {dispatch, place, work} = effect;
		const send = (message: RequestMessage) => {
			this.send(submission, message);
		};

		switch (effect.kind) {
			case 'dispatch': {
				network.call(place, {
					deliver(agent, respond) {
						agent.run(work, submission.number, answer => {
							respond(() => {
								send({kind: 'answered', dispatch, answer});
							});
						});
					},
					fail(delivery) {
						send({
							kind: 'failed', dispatch, call: effect.call, delivery: variant === 'blind-retry' ? 'never-sent' : delivery, reason: 'connection-lost',
						});
					},
				});
				break;
			}

			case 'find': {
				network.whenConnected(place, 10, () => {
					network.call(place, {
						deliver(agent, respond) {
							const result = agent.find(submission.requestId);
							respond(() => {
								send({kind: 'found', dispatch, result});
							});
						},
						fail() {
							send({kind: 'gone', dispatch});
						},
					});
				});
				break;
			}

			case 'withdraw': {
				if (variant === 'assumes-withdrawn' || variant === 'blind-retry') {
					send({kind: 'withdrawn', dispatch, result: {kind: 'withdrawn'}});
					break;
				}

				network.whenConnected(place, 5, () => {
					network.call(place, {
						deliver(agent, respond) {
							const result = agent.withdraw(work, submission.number);
							respond(() => {
								send({kind: 'withdrawn', dispatch, result});
							});
						},
						fail() {
							send({kind: 'withdraw-failed', dispatch});
						},
					});
				});
			}
		}
	}
}
