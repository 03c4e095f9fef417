/**
What the store may hold as the record of workers, as far as this scheduler can tell.

A write that is under way may have been carried out already, and one whose answer was lost may still be, until the record has another version.
*/
import type {UsedWorker} from '#scheduling';

export type StoredWorkers = Readonly<{
	/** Version of the record that was read or written last; a write on this condition is refused once the record has another one. */
	version: number;
	/** Workers that the record lists whichever of the writes on this version was carried out. */
	certain: ReadonlySet<string>;
	/** Workers that the record may list. */
	possible: ReadonlySet<string>;
	/** Workers in the write that is under way. */
	underWay: ReadonlySet<string> | undefined;
}>;

/** What became of the write that was under way. */
export type RecordWriteResult =
	| Readonly<{kind: 'written'; version: number}>
	/** The store refused it, and holds this record; `isLeader` tells whether this entry still is the scheduler. */
	| Readonly<{kind: 'conflict'; version: number; workers: readonly UsedWorker[]; isLeader: boolean}>
	| Readonly<{kind: 'not-applied'}>
	| Readonly<{kind: 'perhaps-applied'}>;

/** Returns what is known after the record was read. */
export function createStoredWorkers(workers: readonly UsedWorker[], version: number): StoredWorkers {
	const listed = toKeys(workers);
	return {
		version, certain: listed, possible: listed, underWay: undefined,
	};
}

/** Notes that a write on the condition of the known version is sent. */
export function beginRecordWrite(stored: StoredWorkers, workers: readonly UsedWorker[]): StoredWorkers {
	return {...stored, underWay: toKeys(workers)};
}

/**
Notes what became of the write.

@example
```
const lost = endRecordWrite(beginRecordWrite(createStoredWorkers([a, b], 1), [b]), {kind: 'perhaps-applied'});
isCertainlyStored(lost, a); // false
mayListOthers(lost, [b]); // true
```
*/
export function endRecordWrite(stored: StoredWorkers, result: RecordWriteResult): StoredWorkers {
	const {version, certain, possible, underWay = new Set<string>()} = stored;
	switch (result.kind) {
		case 'written': {
			return {
				version: result.version, certain: underWay, possible: underWay, underWay: undefined,
			};
		}

		case 'conflict': {
			// With the same version, another condition was not met, and earlier writes may still be carried out.
			return result.version === version ? {...stored, underWay: undefined} : createStoredWorkers(result.workers, result.version);
		}

		case 'not-applied': {
			return {...stored, underWay: undefined};
		}

		case 'perhaps-applied': {
			return {
				version,
				certain: new Set([...certain].filter(key => underWay.has(key))),
				possible: new Set([...possible, ...underWay]),
				underWay: undefined,
			};
		}
	}
}

/** Whether the store lists the worker now and after each write that may still be carried out. */
export function isCertainlyStored({certain, underWay}: StoredWorkers, worker: UsedWorker): boolean {
	const key = toKey(worker);
	return certain.has(key) && underWay?.has(key) !== false;
}

/** Whether the store may list workers other than these. */
export function mayListOthers({possible}: StoredWorkers, workers: readonly UsedWorker[]): boolean {
	const expected = toKeys(workers);
	return [...possible].some(key => !expected.has(key));
}

function toKey({agent, worker}: UsedWorker): string {
	return `${agent} ${worker}`;
}

function toKeys(workers: readonly UsedWorker[]): ReadonlySet<string> {
	return new Set(workers.map(worker => toKey(worker)));
}
