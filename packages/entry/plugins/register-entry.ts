import type {EntryRecord} from '#protocol';
import {computeBackoff} from '#store';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {describeSelf} from '../self.js';
import {entryLeaseService} from './entry-lease.js';
import {storeService} from './store.js';

/** Keys of the store under which entries register. */
export const entriesPrefix = 'entries/';

entryPlugins.register({
	kind: 'task',
	name: 'register-entry',
	start(context) {
		let isStopped = false;
		let record: EntryRecord | undefined;
		const registerAgain = (failures: number) => {
			const held = context.services.use(entryLeaseService).getValid();
			if (isStopped || record === undefined || held === undefined) {
				return;
			}

			void (async () => {
				const isRegistered = await register(record, held.lease, context);
				if (!isRegistered && !isStopped) {
					context.clock.schedule(computeBackoff(failures + 1, context.random), () => {
						registerAgain(failures + 1);
					});
				}
			})();
		};

		const cancel = context.services.use(entryLeaseService).onChanged(() => {
			registerAgain(0);
		});
		void (async () => {
			record = describeSelf(context.settings, await context.listening);
			registerAgain(0);
		})();

		return () => {
			isStopped = true;
			cancel();
		};
	},
});

/** Writes the record under the lease, in place of one that an earlier process of the same name left. */
async function register(record: EntryRecord, lease: string, {services, log}: EntryContext): Promise<boolean> {
	const store = services.use(storeService);
	const key = `${entriesPrefix}${record.zone}/${record.entry}`;
	const present = await store.read(key);
	if (present.kind === 'unavailable') {
		return false;
	}

	const reply = await store.write(key, record, {expectedVersion: present.kind === 'found' ? present.stored.version : 0, lease});
	switch (reply.kind) {
		case 'written': {
			log.withPrefix('entries').info({key}, 'registered');
			return true;
		}

		case 'conflict':
		case 'unavailable': {
			return false;
		}

		// The lease ended meanwhile; its change starts the next registration.
		case 'lease-unknown': {
			return true;
		}
	}
}
