/** What a worker's lists say, and what they leave open. */
import type {
	EndedRun, ReportedRun, TaskName, WorkerSnapshot,
} from './types.js';

/** Ends as a worker lists them. One with many unacknowledged ends leaves the newer ones out, so that absence from a cut list says nothing. */
export type ListedEnds = Readonly<{kind: 'whole' | 'cut'; ends: readonly EndedRun[]}>;

/** The lists of a worker at one moment. */
export type RunLists = Readonly<{running: readonly ReportedRun[]; ended: ListedEnds}>;

/**
Where a run is listed.

- `absent`: it never started, or its end is acknowledged.
- `unknown`: the same, or it has ended and the list of ends was cut before it.
*/
export type RunListing = 'running' | 'ended' | 'absent' | 'unknown';

/** Returns the lists of a report. */
export function listsOf({running, ended, areEndsCut}: Pick<WorkerSnapshot, 'running' | 'ended' | 'areEndsCut'>): RunLists {
	return {running, ended: {kind: areEndsCut === true ? 'cut' : 'whole', ends: ended}};
}

/**
Creates a look-up of runs in the lists of a worker.

@example
```
const findListing = indexLists({running: [], ended: {kind: 'cut', ends: []}});
findListing(task, 1);
//=> 'unknown'
```
*/
export function indexLists({running, ended}: RunLists): (task: TaskName, run: number) => RunListing {
	const format = (task: TaskName, run: number) => `${task} ${run}`;
	const runningNames = new Set(running.map(({task, run}) => format(task, run)));
	const endedNames = new Set(ended.ends.map(({task, run}) => format(task, run)));
	return (task, run) => {
		const name = format(task, run);
		if (runningNames.has(name)) {
			return 'running';
		}

		if (endedNames.has(name)) {
			return 'ended';
		}

		return ended.kind === 'cut' ? 'unknown' : 'absent';
	};
}
