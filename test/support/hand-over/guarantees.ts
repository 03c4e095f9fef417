/** Records what the workers do, and which promise it breaks. */
import type {TaskName} from '#jobs';
import type {RunEvent} from './incarnation.js';

export type Guarantees = Readonly<{
	observe(event: RunEvent): void;
	/** Broken promises, in words. */
	violations(): readonly string[];
	countStarts(): number;
}>;

type DoneEnd = {readonly worker: string; readonly run: number; state: 'listed' | 'noted' | 'lapsed'; laterStart: string | undefined};

/** A worker's run lasts only as long as its lease, so that all runs that have not ended are under a valid one. */
export function createGuarantees(): Guarantees {
	const running = new Map<TaskName, readonly string[]>();
	const doneEnds = new Map<TaskName, readonly DoneEnd[]>();
	const violations: string[] = [];
	let starts = 0;
	const describe = ({worker, task, run}: RunEvent) => `run ${run} of ${task} on ${worker}`;

	const handleStart = (event: RunEvent) => {
		const {task} = event;
		const present = running.get(task) ?? [];
		starts++;
		if (present.length > 0) {
			violations.push(`${describe(event)} starts beside ${present.join(', ')}`);
		}

		for (const end of doneEnds.get(task) ?? []) {
			end.laterStart ??= describe(event);
			checkDoneEnd(task, end);
		}

		running.set(task, [...present, describe(event)]);
	};

	/** An end that is acknowledged counts, whether the later start was before the acknowledgement or after it. */
	const checkDoneEnd = (task: TaskName, {state, worker, run, laterStart}: DoneEnd) => {
		if (state === 'noted' && laterStart !== undefined) {
			violations.push(`${laterStart} starts after run ${run} on ${worker} was done`);
		}
	};

	const setDoneState = ({worker, task, run}: RunEvent, state: DoneEnd['state']) => {
		for (const end of (doneEnds.get(task) ?? []).filter(known => known.worker === worker && known.run === run && known.state === 'listed')) {
			end.state = state;
			checkDoneEnd(task, end);
		}
	};

	return {
		observe(event) {
			const {kind, worker, task, run, ending} = event;
			switch (kind) {
				case 'started': {
					handleStart(event);
					break;
				}

				case 'ended': {
					running.set(task, (running.get(task) ?? []).filter(present => present !== describe(event)));
					if (ending === 'done') {
						doneEnds.set(task, [...(doneEnds.get(task) ?? []), {
							worker, run, state: 'listed', laterStart: undefined,
						}]);
					}

					break;
				}

				case 'end-noted': {
					setDoneState(event, 'noted');
					break;
				}

				case 'end-lapsed': {
					setDoneState(event, 'lapsed');
				}
			}
		},
		violations: () => violations,
		countStarts: () => starts,
	};
}
