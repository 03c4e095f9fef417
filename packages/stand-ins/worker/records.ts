import type {ExecutionRecord, RecordList, WorkerState} from './types.js';

/** Adds a record to those that the demonstration compares with the callers' results. */
export function addRecord(state: WorkerState, record: ExecutionRecord): WorkerState {
	return {...state, records: {record, previous: state.records}};
}

/** Lists the records, oldest first. */
export function listRecords(records: RecordList | undefined): readonly ExecutionRecord[] {
	const listed: ExecutionRecord[] = [];
	for (let node = records; node !== undefined; node = node.previous) {
		listed.push(node.record);
	}

	return listed.toReversed();
}
