import type {EntryRecord} from '#protocol';
import {computeBackoff} from '#store';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {createOwnRecord} from '../entry-record.js';
import {entryLeaseService} from './entry-lease.js';
import {storeService} from './store.js';

/** Prefix of the store keys under which entries register. */
export const entriesPrefix = 'entries/';

entryPlugins.register({
	kind: 'task',
	name: 'register-entry',
	start(context) {
		let isStopped = false;
		let record: EntryRecord | undefined;
		const renewRegistration = (failures: number) => {
			// Whether the lease still exists is for the store to say: one that lapsed by the local clock may be renewed.
			const current = context.services.use(entryLeaseService).getLatest();
			if (isStopped || record === undefined || current === undefined) {
				return;
			}

			void (async () => {
				const isRegistered = await register(record, current.lease, context);
				if (!isRegistered && !isStopped) {
					context.clock.schedule(computeBackoff(failures + 1, context.random), () => {
						renewRegistration(failures + 1);
					});
				}
			})();
		};

		const cancel = context.services.use(entryLeaseService).onChanged(() => {
			renewRegistration(0);
		});
		void (async () => {
			record = createOwnRecord(context.settings, await context.listening);
			renewRegistration(0);
		})();

		return () => {
			isStopped = true;
			cancel();
		};
	},
});

/** Writes the record under the lease, replacing one from an earlier process of the same name. */
async function register(record: EntryRecord, lease: string, {services, log}: EntryContext): Promise<boolean> {
	const store = services.use(storeService);
	const key = `${entriesPrefix}${record.zone}/${record.entry}`;
	const existing = await store.read(key);
	if (existing.kind === 'unavailable') {
		return false;
	}

	const reply = await store.write(key, record, {expectedVersion: existing.kind === 'found' ? existing.stored.version : 0, lease});
	switch (reply.kind) {
		case 'written': {
			log.withPrefix('entries').info({key}, 'registered');
			return true;
		}

		case 'conflict':
		case 'unavailable': {
			return false;
		}

		// The lease has expired; a change of the lease starts the next registration.
		case 'lease-unknown': {
			return true;
		}
	}
}
