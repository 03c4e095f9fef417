import {
	configurationKey, configurationSchema, historyKeyOf, type Configuration,
} from '#configuration';
import {checkInput} from '#core';
import type {KeyValueStore} from '#store';
import {BadInputError, formatFinding, UnavailableError} from './errors.js';

/** Reads the current configuration from the store. */
export async function readCurrent(store: KeyValueStore): Promise<Configuration | undefined> {
	return readKey(store, configurationKey);
}

/**
Reads the current revision or one from the history.

@throws {BadInputError} if it is not in the store, for example because the history has overwritten it.
*/
export async function readRevision(store: KeyValueStore, revision: number): Promise<Configuration> {
	const current = await readCurrent(store);
	if (current?.revision === revision) {
		return current;
	}

	const earlier = await readKey(store, historyKeyOf(revision));
	if (earlier?.revision !== revision) {
		throw new BadInputError([`revision ${revision}: is not in the store; the current one is ${current?.revision ?? 0}`]);
	}

	return earlier;
}

async function readKey(store: KeyValueStore, key: string): Promise<Configuration | undefined> {
	const reply = await store.read(key);
	switch (reply.kind) {
		case 'absent': {
			return undefined;
		}

		case 'unavailable': {
			throw new UnavailableError('store', reply.message);
		}

		case 'found': {
			const checked = checkInput(configurationSchema, reply.stored.value, key);
			if (checked.kind === 'invalid') {
				throw new BadInputError(checked.findings.map(finding => `store: ${formatFinding(finding)}`));
			}

			return checked.value;
		}
	}
}

/** Returns the two lists without the fields of the revision. */
export function listsOf({plans, allowances}: Configuration): Pick<Configuration, 'plans' | 'allowances'> {
	return {plans, allowances};
}
