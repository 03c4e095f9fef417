import type {StartRecord} from './worker-incarnation.js';

const describe = ({task, run, worker, born}: StartRecord) => `${task} run ${run} on ${worker} of ${born}`;

/** Lists pairs of starts that run a task twice: at the same time, or again after an end as done that was listed or acknowledged. */
export function findRepeatedRuns(records: readonly StartRecord[]): readonly string[] {
	return records.flatMap(first => records.flatMap(second => {
		if (first === second || first.task !== second.task || second.startedAt < first.startedAt) {
			return [];
		}

		if (second.startedAt < (first.endedAt ?? Infinity)) {
			return [`${describe(second)} beside ${describe(first)}`];
		}

		const isDone = first.ending === 'done' && (first.listedAt !== undefined || first.notedAt !== undefined);
		return isDone ? [`${describe(second)} after ${describe(first)} was done`] : [];
	}));
}
