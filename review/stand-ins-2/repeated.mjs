/** Checks rule TWICE: two runs of a task at the same time, or a start after a run has ended `done`, if that end is taken note of then or later. */

/** Returns the tasks that ran twice, with the runs that show it. */
export function findRepeatedTasks(records) {
	return [...groupByTask(records)].flatMap(([task, runs]) => {
		const pair = runs.flatMap(first => runs.filter(second => second !== first && isRepetition(first, second)).map(second => [first, second]))[0];
		return pair === undefined ? [] : [{task, first: describe(pair[0]), second: describe(pair[1])}];
	});
}

function groupByTask(records) {
	const groups = new Map();
	for (const record of records) {
		groups.set(record.task, [...groups.get(record.task) ?? [], record]);
	}

	return groups;
}

function isRepetition(first, second) {
	const isBeside = second.startedAt >= first.startedAt && second.startedAt < (first.endedAt ?? Infinity);
	const isAfterNotedEnd = first.how === 'done' && first.notedAt !== undefined && second.startedAt > first.endedAt;
	return isBeside || isAfterNotedEnd;
}

function describe({worker, run, startedAt, endedAt, how, notedAt}) {
	return {
		worker, run, how, startedAt, endedAt, notedAt,
	};
}
