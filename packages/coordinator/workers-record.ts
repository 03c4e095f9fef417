/** Stores which workers this scheduler uses, so that the next one knows where runs may exist. */
import {checkInput} from '#core';
import {sleep} from '#kernel';
import type {UsedWorker} from '#scheduling';
import type {CommitReply} from '#store';
import {progressRetryMilliseconds} from './constants.js';
import {leaderKey, workersKey, workersRecordSchema} from './keys.js';
import {leadershipService} from './plugins/leadership.js';
import {storePort} from './ports.js';
import type {Term} from './plugins/scheduler.js';
import {
	beginRecordWrite, createStoredWorkers, endRecordWrite, isCertainlyStored, mayListOthers, type RecordWriteResult,
} from './stored-workers.js';
import type {CoordinatorContext} from './types.js';

export type WorkersRecord = Readonly<{
	/** Adopts the workers that an earlier scheduler stored. */
	restore(workers: readonly UsedWorker[], version: number): void;
	/** Resolves to true once the store lists the worker, whatever becomes of earlier writes, or to false if the worker is gone or the term ends first. */
	ensureStored(worker: UsedWorker): Promise<boolean>;
	/** Removes workers that are gone, for which the next scheduler would wait in vain. */
	prune(): void;
}>;

/** Reads the record; an invalid one lists nobody. */
export function parseWorkersRecord(value: unknown, {log}: Pick<CoordinatorContext, 'log'>): readonly UsedWorker[] {
	const checked = checkInput(workersRecordSchema, value, workersKey);
	if (checked.kind === 'invalid') {
		log.withPrefix('scheduler').error({findings: checked.findings}, 'stored record of workers is not valid');
		return [];
	}

	return checked.value.workers;
}

export function createWorkersRecord(term: Pick<Term, 'leaderVersion' | 'isOver' | 'task'>, context: CoordinatorContext): WorkersRecord {
	const {services, clock} = context;
	const log = context.log.withPrefix('scheduler');
	let stored = createStoredWorkers([], 0);
	let pendingWrite: Promise<void> | undefined;

	const listUsed = (): readonly UsedWorker[] => {
		const {workers, unread, unansweredStarts} = term.task.read();
		return listDistinct([
			...[...workers.values()].map(({agent, snapshot}) => ({agent, worker: snapshot.worker})),
			...[...unread].map(([agent, {worker}]) => ({agent, worker})),
			// A worker that left may come back under its identifier and carry out a start that it did not answer.
			...[...unansweredStarts.values()].flat().map(({agent, worker}) => ({agent, worker})),
		]);
	};

	/** A worker that is gone is left out of every further write. */
	const isKnown = ({agent, worker}: UsedWorker) => term.task.read().workers.get(agent)?.snapshot.worker === worker;

	const toResult = (reply: CommitReply): RecordWriteResult => {
		switch (reply.kind) {
			case 'committed': {
				return {kind: 'written', version: reply.version};
			}

			case 'conflict': {
				const current = reply.current.find(({key}) => key === workersKey);
				return {
					kind: 'conflict',
					version: current?.version ?? 0,
					workers: current === undefined ? [] : parseWorkersRecord(current.value, context),
					isLeader: reply.current.find(({key}) => key === leaderKey)?.version === term.leaderVersion,
				};
			}

			case 'lease-unknown': {
				return {kind: 'not-applied'};
			}

			case 'unavailable': {
				return {kind: reply.effect};
			}
		}
	};

	const writeOnce = async () => {
		const next = listUsed();
		const {version, certain} = stored;
		log.info({workers: next.length, earlier: certain.size, version}, 'storing the workers in use');
		stored = beginRecordWrite(stored, next);
		const reply = await services.use(storePort).commit({
			conditions: [{key: leaderKey, expectedVersion: term.leaderVersion}, {key: workersKey, expectedVersion: version}],
			puts: [{key: workersKey, value: {workers: next}}],
			removals: [],
		});
		const result = toResult(reply);
		stored = endRecordWrite(stored, result);
		switch (result.kind) {
			case 'written': {
				log.info({workers: next.length, version: result.version}, 'stored the workers in use');
				return;
			}

			case 'conflict': {
				log.warn({
					expected: version, version: result.version, workers: result.workers.length, isLeader: result.isLeader,
				}, 'the store holds another record of the workers in use');
				if (!result.isLeader) {
					services.use(leadershipService).send({kind: 'deposed'});
					break;
				}

				// An earlier write of this process was carried out although its reply was lost.
				return;
			}

			case 'not-applied':
			case 'perhaps-applied': {
				context.counters.countRetry('workers-record');
				log.warn({reply}, 'the workers in use were not confirmed to be stored; retrying');
			}
		}

		await sleep(clock, progressRetryMilliseconds);
	};

	/** Waits for the write that is under way, or writes; only one is under way at a time. */
	const write = async () => {
		pendingWrite ??= (async () => {
			try {
				await writeOnce();
			} finally {
				pendingWrite = undefined;
			}
		})();
		await pendingWrite;
	};

	return {
		restore(workers, version) {
			stored = createStoredWorkers(workers, version);
		},
		async ensureStored(worker) {
			while (!isCertainlyStored(stored, worker) && isKnown(worker) && !term.isOver()) {
				await write();
			}

			return isCertainlyStored(stored, worker) && !term.isOver();
		},
		prune() {
			if (pendingWrite === undefined && term.task.read().isLoaded && mayListOthers(stored, listUsed())) {
				void write();
			}
		},
	};
}

function listDistinct(workers: readonly UsedWorker[]): readonly UsedWorker[] {
	return [...new Map(workers.map(used => [`${used.agent} ${used.worker}`, used])).values()];
}
