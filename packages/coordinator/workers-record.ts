/** Stores which workers this scheduler uses, so that the next one knows where runs may exist. */
import {sleep} from '#kernel';
import type {UsedWorker} from '#scheduling';
import {progressRetryMilliseconds} from './constants.js';
import {leaderKey, workersKey} from './keys.js';
import {storePort} from './ports.js';
import type {Term} from './plugins/scheduler.js';
import type {CoordinatorContext} from './types.js';

export type WorkersRecord = Readonly<{
	/** Adopts the workers that an earlier scheduler stored. */
	restore(workers: readonly UsedWorker[], version: number): void;
	/** Resolves to true once the store lists the worker, or to false if the worker is gone or the term ends first. */
	ensureStored(worker: UsedWorker): Promise<boolean>;
	/** Removes workers that are gone, for which the next scheduler would wait in vain. */
	prune(): void;
}>;

export function createWorkersRecord(term: Pick<Term, 'leaderVersion' | 'isOver' | 'task'>, context: CoordinatorContext): WorkersRecord {
	const {services, clock} = context;
	let stored = new Set<string>();
	let version = 0;
	let pendingWrite: Promise<void> | undefined;

	const listUsed = (): readonly UsedWorker[] => {
		const {workers, unread, unansweredStarts} = term.task.read();
		// A worker that left may come back under its identifier and carry out a start that it did not answer.
		const awaited = new Map([...unansweredStarts.values()].flat().map(({agent, worker}) => [agent, worker]));
		return [
			...[...workers.values()].map(({agent, snapshot}) => ({agent, worker: snapshot.worker})),
			...[...unread].map(([agent, {worker}]) => ({agent, worker})),
			...[...awaited].filter(([agent]) => !workers.has(agent) && !unread.has(agent)).map(([agent, worker]) => ({agent, worker})),
		];
	};

	/** A worker that is gone is left out of every further write. */
	const isKnown = ({agent, worker}: UsedWorker) => term.task.read().workers.get(agent)?.snapshot.worker === worker;

	const writeOnce = async () => {
		const log = context.log.withPrefix('scheduler');
		const next = listUsed();
		log.info({
			workers: next.length, added: next.filter(used => !stored.has(keyOf(used))), removed: [...stored].filter(key => !next.some(used => keyOf(used) === key)), version,
		}, 'storing the workers in use');
		const reply = await services.use(storePort).commit({
			conditions: [{key: leaderKey, expectedVersion: term.leaderVersion}, {key: workersKey, expectedVersion: version}],
			puts: [{key: workersKey, value: {workers: next}}],
			removals: [],
		});
		switch (reply.kind) {
			case 'committed': {
				stored = new Set(next.map(used => keyOf(used)));
				version = reply.version;
				log.info({workers: next.length, version}, 'stored the workers in use');
				return;
			}

			// An earlier write of this process may have been applied although its reply was lost.
			case 'conflict': {
				version = reply.current.find(({key}) => key === workersKey)?.version ?? 0;
				log.warn({version}, 'the store holds another record of the workers in use');
				break;
			}

			case 'lease-unknown':
			case 'unavailable': {
				context.counters.countRetry('workers-record');
				log.warn({reply}, 'the workers in use were not confirmed to be stored; retrying');
			}
		}

		await sleep(clock, progressRetryMilliseconds);
	};

	const write = async () => {
		pendingWrite ??= writeOnce();
		await pendingWrite;
		pendingWrite = undefined;
	};

	return {
		restore(workers, storedVersion) {
			stored = new Set(workers.map(used => keyOf(used)));
			version = storedVersion;
		},
		async ensureStored(worker) {
			while (!stored.has(keyOf(worker)) && isKnown(worker) && !term.isOver()) {
				await write();
			}

			return stored.has(keyOf(worker)) && !term.isOver();
		},
		prune() {
			const used = new Set(listUsed().map(worker => keyOf(worker)));
			const hasUnused = [...stored].some(worker => !used.has(worker));
			if (hasUnused && pendingWrite === undefined && term.task.read().isLoaded) {
				void write();
			}
		},
	};
}

function keyOf({agent, worker}: UsedWorker): string {
	return `${agent} ${worker}`;
}
