import {
	configurationKey, configurationSchema, createChangeState, historyKeyOf, receiveChangeMessage,
	type Change, type ChangeEffect, type ChangeMessage, type ChangeOutcome, type ChangeState, type Configuration, type StoredConfiguration,
} from '#configuration';
import {checkInput, type Milliseconds, type RandomSource} from '#core';
import {startTask, type Clock} from '#kernel';
import type {
	KeyValueStore, ReadReply, StoreFailure, StoredValue, WriteReply,
} from '#store';

export type WriteServices = Readonly<{
	store: KeyValueStore;
	clock: Clock;
	random: RandomSource;
	/** After this time, the writer stops and reports what is known. */
	timeout: Milliseconds;
}>;

/** Writes one change of the configuration by compare-and-swap and returns its outcome. */
export async function writeConfiguration(change: Change, services: WriteServices): Promise<ChangeOutcome> {
	const {store, clock, random, timeout} = services;
	return new Promise(resolve => {
		const task = startTask<ChangeState, ChangeMessage, ChangeEffect>({
			name: 'change',
			initialState: createChangeState(change),
			receive: (state, message) => receiveChangeMessage(state, message, random),
		}, {
			clock,
			perform(effect, send) {
				switch (effect.kind) {
					case 'conclude': {
						cancelDeadline();
						resolve(effect.outcome);
						break;
					}

					case 'schedule': {
						clock.schedule(effect.delay, () => {
							send({kind: 'due'});
						});
						break;
					}

					case 'read-current':
					case 'archive':
					case 'write':
					case 'read-history': {
						void (async () => {
							send(await callStore(effect, store));
						})();
					}
				}
			},
		});
		const cancelDeadline = clock.schedule(timeout, () => {
			task.send({kind: 'deadline'});
		});
		task.send({kind: 'due'});
	});
}

type StoreCallEffect = Exclude<ChangeEffect, {kind: 'conclude' | 'schedule'}>;

async function callStore(effect: StoreCallEffect, store: KeyValueStore): Promise<ChangeMessage> {
	switch (effect.kind) {
		case 'read-current': {
			return decodeCurrent(await store.read(configurationKey));
		}

		case 'archive': {
			return archive(effect.configuration, store);
		}

		case 'write': {
			return decodeWrite(await store.write(configurationKey, effect.configuration, {expectedVersion: effect.expectedVersion}));
		}

		case 'read-history': {
			return decodeHistory(await store.read(historyKeyOf(effect.revision)));
		}
	}
}

function decodeCurrent(reply: ReadReply): ChangeMessage {
	switch (reply.kind) {
		case 'found': {
			const current = decode(reply.stored);
			return current === undefined ? unreadable : {kind: 'current-read', current};
		}

		case 'absent': {
			return {kind: 'current-read', current: undefined};
		}

		case 'unavailable': {
			return toFailed(reply);
		}
	}
}

function decodeWrite(reply: WriteReply): ChangeMessage {
	switch (reply.kind) {
		case 'written': {
			return {kind: 'written'};
		}

		case 'conflict': {
			const current = reply.current === undefined ? undefined : decode(reply.current);
			return reply.current !== undefined && current === undefined ? unreadable : {kind: 'conflict', current};
		}

		case 'lease-unknown': {
			return leaseRequired;
		}

		case 'unavailable': {
			return toFailed(reply);
		}
	}
}

function decodeHistory(reply: ReadReply): ChangeMessage {
	switch (reply.kind) {
		case 'found': {
			return {kind: 'history-read', configuration: decode(reply.stored)?.configuration};
		}

		case 'absent': {
			return {kind: 'history-read', configuration: undefined};
		}

		case 'unavailable': {
			return toFailed(reply);
		}
	}
}

const leaseRequired: ChangeMessage = {kind: 'failed', effect: 'not-applied', message: 'the store required a lease'};
const unreadable: ChangeMessage = {kind: 'failed', effect: 'not-applied', message: 'the stored configuration is not valid'};

function toFailed({effect, message, retryAfterMilliseconds}: StoreFailure): ChangeMessage {
	return {
		kind: 'failed', effect, message, retryAfter: retryAfterMilliseconds,
	};
}

function decode({value, version}: StoredValue): StoredConfiguration | undefined {
	const checked = checkInput(configurationSchema, value);
	return checked.kind === 'valid' ? {configuration: checked.value, version} : undefined;
}

/** Stores a revision under its history key, unless a later one is already there. */
async function archive(configuration: Configuration, store: KeyValueStore): Promise<ChangeMessage> {
	const key = historyKeyOf(configuration.revision);
	let expectedVersion = 0;
	for (;;) {
		const reply = await store.write(key, configuration, {expectedVersion});
		switch (reply.kind) {
			case 'written': {
				return {kind: 'archived'};
			}

			case 'conflict': {
				const present = reply.current === undefined ? undefined : decode(reply.current);
				if (present !== undefined && present.configuration.revision >= configuration.revision) {
					return {kind: 'archived'};
				}

				expectedVersion = reply.current?.version ?? 0;
				break;
			}

			case 'lease-unknown': {
				return leaseRequired;
			}

			case 'unavailable': {
				return toFailed(reply);
			}
		}
	}
}
