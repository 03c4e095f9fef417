/** Keeps in the store which workers this scheduler uses, so that the next one knows where runs may be. */
import type {WorkerId} from '#core';
import {progressRetryMilliseconds} from './constants.js';
import {leaderKey, workersKey} from './keys.js';
import {storePort} from './ports.js';
import type {Term} from './plugins/scheduler.js';
import type {CoordinatorContext} from './types.js';

export type WorkersRecord = Readonly<{
	/** Takes over what an earlier scheduler stored. */
	restore(workers: readonly WorkerId[], version: number): void;
	/** Resolves once the store lists the worker; false if the term ended first. */
	ensure(worker: WorkerId): Promise<boolean>;
}>;

export function createWorkersRecord(term: Pick<Term, 'leaderVersion' | 'isOver' | 'task'>, context: CoordinatorContext): WorkersRecord {
	const {services, clock} = context;
	let stored = new Set<WorkerId>();
	let version = 0;
	let writing: Promise<void> | undefined;

	const writeOnce = async () => {
		// Workers that are gone drop out here, so that the record does not grow.
		const {workers: present, unread} = term.task.read();
		const next = [...new Set([...[...present.values()].map(({snapshot}) => snapshot.worker), ...unread.keys()])];
		const reply = await services.use(storePort).commit({
			conditions: [{key: leaderKey, expectedVersion: term.leaderVersion}, {key: workersKey, expectedVersion: version}],
			puts: [{key: workersKey, value: {workers: next}}],
			removals: [],
		});
		switch (reply.kind) {
			case 'committed': {
				stored = new Set(next);
				version = reply.version;
				context.log.part('scheduler').info({workers: next.length}, 'workers in use stored');
				return;
			}

			// An earlier write of this process may have been carried out unanswered.
			case 'conflict': {
				version = reply.current.find(({key}) => key === workersKey)?.version ?? 0;
				break;
			}

			case 'lease-unknown':
			case 'unavailable': {
				context.counters.countRetry('workers-record');
			}
		}

		await new Promise<void>(resolve => {
			clock.schedule(progressRetryMilliseconds, resolve);
		});
	};

	return {
		restore(workers, storedVersion) {
			stored = new Set(workers);
			version = storedVersion;
		},
		async ensure(worker) {
			while (!stored.has(worker) && !term.isOver()) {
				writing ??= writeOnce();
				await writing;
				writing = undefined;
			}

			return !term.isOver();
		},
	};
}
