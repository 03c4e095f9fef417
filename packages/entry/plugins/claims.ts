import {
	createPendingReplies, createServiceKey, startTask, type ReplyId,
} from '#kernel';
import {
	claimLeaseMilliseconds, decodeClaims, encodeClaims, initialClaimsState, receiveClaimsMessage, type ClaimResult, type ClaimsEffect,
	type ClaimsMessage, type WaitingClaim,
} from '#recovery';
import type {KeyValueStore, StoredValue} from '#store';
import {entryPlugins} from '../plugins.js';
import {claimsPruneIntervalMilliseconds, maximumReadBackDelayMilliseconds} from '../requests/constants.js';
import type {EntryContext} from '../types.js';
import {storeService} from './store.js';

export type ClaimsService = Readonly<{
	/** Writes or moves the claim of a request, or returns the existing one. */
	claim(claim: Omit<WaitingClaim, 'replyId'>): Promise<ClaimResult>;
}>;

/** The task that writes claims; claims under the same key share a write. */
export const claimsService = createServiceKey<ClaimsService>('claims');

type Send = (message: ClaimsMessage) => void;

entryPlugins.register({
	kind: 'task',
	name: 'claims',
	start(context) {
		const {clock, services} = context;
		const replies = createPendingReplies<ClaimResult>();
		const claims = startTask(
			{name: 'claims', initialState: initialClaimsState, receive: receiveClaimsMessage},
			{
				clock,
				perform(effect, send) {
					performClaimsEffect(effect, send, context, replies.resolve);
				},
			},
		);
		services.provide(claimsService, {
			claim: async claim => replies.request(replyId => {
				claims.send({kind: 'claim', waiting: {...claim, replyId}});
			}),
		});
		let stopTimer: () => void = () => undefined;
		const tick = () => {
			claims.send({kind: 'tick'});
			stopTimer = clock.schedule(claimsPruneIntervalMilliseconds, tick);
		};

		tick();
		return () => {
			stopTimer();
			claims.stop();
		};
	},
});

function performClaimsEffect(effect: ClaimsEffect, send: Send, context: EntryContext, answer: (replyId: ReplyId, result: ClaimResult) => void): void {
	const store = context.services.use(storeService);
	switch (effect.kind) {
		case 'write': {
			context.counters.countEvent('claim-writes');
			context.counters.countEvent('claims-written', effect.added);
			void write(effect, send, store);
			break;
		}

		case 'read': {
			if (effect.attempt === 0) {
				void read(effect.key, send, store);
			} else {
				context.clock.schedule(context.random() * maximumReadBackDelayMilliseconds, () => {
					void read(effect.key, send, store);
				});
			}

			break;
		}

		case 'grant-lease': {
			void grantLease(send, store);
			break;
		}

		case 'answer': {
			answer(effect.replyId, effect.result);
			break;
		}
	}
}

async function write({key, book, expectedVersion, lease}: Extract<ClaimsEffect, {kind: 'write'}>, send: Send, store: KeyValueStore): Promise<void> {
	const reply = await store.write(key, encodeClaims(book), {expectedVersion, lease});
	switch (reply.kind) {
		case 'written': {
			send({kind: 'written', key, version: reply.version});
			break;
		}

		case 'conflict': {
			const decoded = decodeStoredClaims(reply.current, key);
			// Claims that cannot be decoded must not be overwritten.
			send(decoded === undefined ? {kind: 'write-failed', key, effect: 'not-applied'} : {kind: 'conflict', key, ...decoded});
			break;
		}

		case 'lease-unknown': {
			send({kind: 'lease-unknown', key});
			break;
		}

		case 'unavailable': {
			send({kind: 'write-failed', key, effect: reply.effect});
			break;
		}
	}
}

async function read(key: string, send: Send, store: KeyValueStore): Promise<void> {
	const reply = await store.read(key);
	const stored = reply.kind === 'found' ? reply.stored : undefined;
	const decoded = reply.kind === 'unavailable' ? undefined : decodeStoredClaims(stored, key);
	send(decoded === undefined ? {kind: 'read-failed', key} : {kind: 'read', key, ...decoded});
}

function decodeStoredClaims(stored: StoredValue | undefined, key: string) {
	if (stored === undefined) {
		return {version: 0, book: new Map()};
	}

	const decoded = decodeClaims(stored.value, key);
	return decoded.kind === 'valid' ? {version: stored.version, book: decoded.value} : undefined;
}

async function grantLease(send: Send, store: KeyValueStore): Promise<void> {
	const reply = await store.grantLease(claimLeaseMilliseconds);
	send(reply.kind === 'granted' ? {kind: 'lease-granted', lease: reply.lease} : {kind: 'lease-refused'});
}
