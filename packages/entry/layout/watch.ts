import {checkInput} from '#core';
import type {Cancel} from '#kernel';
import {layoutSchema, type Layout} from '#placement';
import {
	storeBackoffMaximumMilliseconds, storeBackoffMinimumMilliseconds, watchWaitMilliseconds, type KeyValueStore, type StoredValue,
} from '#store';
import type {EntryContext} from '../types.js';

export type ObservedLayout = Readonly<{layout: Layout | undefined; version: number}>;

/** Watches one layout in the store and reports every valid value. A missing key is reported only when the key is read at the start or after a compaction, not when it is deleted. Retries during outages. */
export function watchLayout(key: string, context: EntryContext, store: KeyValueStore, observe: (observed: ObservedLayout) => void): Cancel {
	let isStopped = false;
	void (async () => {
		let revision = 0;
		while (!isStopped) {
			revision = await poll(revision);
		}
	})();

	return () => {
		isStopped = true;
	};

	async function poll(revision: number): Promise<number> {
		const reply = revision === 0 ? await store.list(key) : await store.watch(key, revision, watchWaitMilliseconds);
		switch (reply.kind) {
			case 'listed': {
				const stored = reply.values.find(value => value.key === key);
				observeStored(stored);
				return reply.revision === 0 ? waitAndRetry(context, 0) : reply.revision;
			}

			case 'events': {
				for (const event of reply.events) {
					if (event.kind === 'put' && event.stored.key === key) {
						observeStored(event.stored);
					}
				}

				return reply.revision;
			}

			case 'compacted': {
				return 0;
			}

			case 'unavailable': {
				return waitAndRetry(context, revision);
			}
		}
	}

	function observeStored(stored: StoredValue | undefined): void {
		const observed = stored === undefined ? {layout: undefined, version: 0} : decodeLayout(stored, context);
		if (observed !== undefined) {
			observe(observed);
		}
	}
}

/** Validates a stored layout; an invalid one is logged and ignored. */
export function decodeLayout({key, value, version}: StoredValue, {log}: EntryContext): ObservedLayout | undefined {
	const checked = checkInput(layoutSchema, value, key);
	switch (checked.kind) {
		case 'valid': {
			return {layout: checked.value, version};
		}

		case 'invalid': {
			log.withPrefix('layout').error({findings: checked.findings}, 'stored layout is not valid; keeping the layout in force');
			return undefined;
		}
	}
}

async function waitAndRetry({clock, random}: EntryContext, revision: number): Promise<number> {
	const range = storeBackoffMaximumMilliseconds - storeBackoffMinimumMilliseconds;
	return new Promise(resolve => {
		clock.schedule(storeBackoffMinimumMilliseconds + (random() * range), () => {
			resolve(revision);
		});
	});
}
