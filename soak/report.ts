/** Formats the result of a soak as text. */
import type {Violation, History} from './types.js';

const rowMilliseconds = 2000;

/** Plots one line for each 2 s: jobs accepted, jobs first shown as completed, and calls not served. */
export function plotHistory({startedAt, endedAt, calls}: History): readonly string[] {
	const rows: string[] = [];
	const completed = new Set<string>();
	for (let from = startedAt; from < endedAt; from += rowMilliseconds) {
		const inRow = calls.filter(({answeredAt}) => answeredAt >= from && answeredAt < from + rowMilliseconds);
		const accepted = inRow.filter(({action, status}) => action === 'submit' && status === 200).length;
		const unserved = inRow.filter(({status}) => status === 0 || status >= 500).length;
		const ended = inRow.filter(({job, state}) => state === 'completed' && !completed.has(job));
		for (const {job} of ended) {
			completed.add(job);
		}

		const second = String((from - startedAt) / 1000).padStart(4);
		rows.push(`${second} s  accepted ${'+'.repeat(accepted).padEnd(10)} completed ${'#'.repeat(ended.length).padEnd(10)} not served ${'-'.repeat(unserved)}`);
	}

	return rows;
}

export function summarize({plan, jobs, calls, runs}: History, violations: readonly Violation[]): string {
	const accepted = new Set(calls.filter(({action, status}) => action === 'submit' && status === 200).map(({job}) => job)).size;
	return `seed ${plan.seed}: ${plan.faults.length} faults, ${jobs.length} jobs, ${accepted} accepted, ${runs.length} runs, ${violations.length} promises broken`;
}
