import type {ExecutionRecord, RecordList, WorkerState} from './types.js';

/** Adds a start or end to the list that the demonstration compares with what callers were told. */
export function addRecord(state: WorkerState, record: ExecutionRecord): WorkerState {
	return {...state, records: {record, previous: state.records}};
}

/** Lists records, oldest first. */
export function listRecords(records: RecordList | undefined): readonly ExecutionRecord[] {
	const listed: ExecutionRecord[] = [];
	for (let rest = records; rest !== undefined; rest = rest.previous) {
		listed.push(rest.record);
	}

	return listed.toReversed();
}
