/** Models of a key-value store with faults and of an entry's claims task that writes to it. */
import type {RandomSource} from '#core';
import type {Clock} from '#kernel';
import {
	initialClaimsState, receiveClaimsMessage, type ClaimBook, type ClaimResult, type ClaimsEffect, type ClaimsMessage, type WaitingClaim,
} from '#recovery';

export class ModelStore {
	isDown = false;
	/** How many of the next writes take effect although their reply is lost. */
	lostAnswers = 0;
	/** How many of the next writes are lost before they reach the store. */
	lostWrites = 0;
	readonly values = new Map<string, Readonly<{version: number; book: ClaimBook}>>();
	private revision = 0;

	write({key, book, expectedVersion}: Extract<ClaimsEffect, {kind: 'write'}>): ClaimsMessage {
		const stored = this.values.get(key);
		if (this.isDown) {
			return {kind: 'write-failed', key, effect: 'not-applied'};
		}

		if (this.lostWrites > 0) {
			this.lostWrites--;
			return {kind: 'write-failed', key, effect: 'perhaps-applied'};
		}

		if ((stored?.version ?? 0) !== expectedVersion) {
			return {
				kind: 'conflict', key, version: stored?.version ?? 0, book: stored?.book ?? new Map(),
			};
		}

		const version = ++this.revision;
		this.values.set(key, {version, book});
		if (this.lostAnswers > 0) {
			this.lostAnswers--;
			return {kind: 'write-failed', key, effect: 'perhaps-applied'};
		}

		return {kind: 'written', key, version};
	}

	read(key: string): ClaimsMessage {
		const stored = this.values.get(key);
		return this.isDown
			? {kind: 'read-failed', key}
			: {
				kind: 'read', key, version: stored?.version ?? 0, book: stored?.book ?? new Map(),
			};
	}
}

export type ClaimsServices = Readonly<{
	store: ModelStore;
	clock: Clock;
	random: RandomSource;
	/** Assumes that a write whose reply was lost was applied, instead of reading it back. */
	assumesWritten: boolean;
	isUp(): boolean;
}>;

export class ModelClaims {
	private state = initialClaimsState;
	private nextReply = 1;
	private readonly waiting = new Map<number, (result: ClaimResult) => void>();
	private readonly services: ClaimsServices;

	constructor(services: ClaimsServices) {
		this.services = services;
	}

	claim(claim: Omit<WaitingClaim, 'replyId'>, reply: (result: ClaimResult) => void): void {
		const replyId = this.nextReply++;
		this.waiting.set(replyId, reply);
		this.send({kind: 'claim', waiting: {...claim, replyId}});
	}

	private send(message: ClaimsMessage): void {
		if (!this.services.isUp()) {
			return;
		}

		const step = receiveClaimsMessage(this.state, message, {monotonic: this.services.clock.monotonic()});
		this.state = step.state;
		for (const effect of step.effects) {
			this.perform(effect);
		}
	}

	private perform(effect: ClaimsEffect): void {
		const {store, clock, random, assumesWritten} = this.services;
		const later = (callback: () => void) => clock.schedule(1 + (4 * random()), callback);
		switch (effect.kind) {
			case 'answer': {
				this.waiting.get(effect.replyId)?.(effect.result);
				break;
			}

			case 'grant-lease': {
				later(() => {
					this.send(store.isDown ? {kind: 'lease-refused'} : {kind: 'lease-granted', lease: 'lease'});
				});
				break;
			}

			case 'read': {
				later(() => {
					this.send(store.read(effect.key));
				});
				break;
			}

			case 'write': {
				later(() => {
					const reply = store.write(effect);
					const isAssumedWritten = assumesWritten && reply.kind === 'write-failed' && reply.effect === 'perhaps-applied';
					later(() => {
						this.send(isAssumedWritten ? {kind: 'written', key: effect.key, version: effect.expectedVersion + 1} : reply);
					});
				});
			}
		}
	}
}
