import {
	configurationKey, configurationSchema, historyKeyOf, type Configuration,
} from '#configuration';
import {checkInput} from '#core';
import type {KeyValueStore} from '#store';
import {BadInputError, formatFinding, UnavailableError} from './errors.js';

/** Reads the configuration that the store holds now. */
export async function readCurrent(store: KeyValueStore): Promise<Configuration | undefined> {
	return readKey(store, configurationKey);
}

/**
Reads one revision, the present one or one of the history.

@throws {BadInputError} if the store does not hold it any more.
*/
export async function readRevision(store: KeyValueStore, revision: number): Promise<Configuration> {
	const current = await readCurrent(store);
	if (current?.revision === revision) {
		return current;
	}

	const earlier = await readKey(store, historyKeyOf(revision));
	if (earlier?.revision !== revision) {
		throw new BadInputError([`revision ${revision}: is not in the store; the present one is ${current?.revision ?? 0}`]);
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

/** Leaves out what belongs to the revision rather than to the lists. */
export function listsOf({plans, allowances}: Configuration): Pick<Configuration, 'plans' | 'allowances'> {
	return {plans, allowances};
}
