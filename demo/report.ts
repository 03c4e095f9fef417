import {createLatencyHistogram} from '#kernel';
import {groupBy} from '#core';
import {acceleratorsPerWorker} from './fleet.js';
import type {Comparison, Execution, Told} from './types.js';

/** Formats what callers saw: completion time per class, utilisation, refusals. */
export function formatReport(told: readonly Told[], executions: readonly Execution[], sizes: ReadonlyMap<string, number>, workers: number): readonly string[] {
	return [
		'class  plan      submitted  completed  p50 ms  p99 ms',
		...formatClasses(told),
		'',
		`utilisation of accelerators while gangs were submitted: ${(measureUtilisation(told, executions, sizes, workers) * 100).toFixed(1)}%`,
		'',
		'refusals and unknown outcomes by reason:',
		...formatReasons(told),
	];
}

function formatClasses(told: readonly Told[]): readonly string[] {
	const groups = [...groupBy(told, ({workClass, plan}) => `${workClass.padEnd(6)} ${plan.padEnd(9)}`)].toSorted(([first], [second]) => first.localeCompare(second));
	return groups.map(([name, group]) => {
		const completed = group.filter(({outcome}) => outcome === 'completed');
		const histogram = createLatencyHistogram();
		for (const {submittedAt, endedAt} of completed) {
			histogram.recordValue(Math.max(0, endedAt - submittedAt));
		}

		const [median, tail] = [50, 99].map(percentile => String(histogram.getValueAtPercentile(percentile)).padStart(6));
		return `${name} ${String(group.length).padStart(9)}  ${String(completed.length).padStart(9)}  ${median}  ${tail}`;
	});
}

/** Share of all accelerators in use between the first and the last submission of a gang. */
function measureUtilisation(told: readonly Told[], executions: readonly Execution[], sizes: ReadonlyMap<string, number>, workers: number): number {
	const submissions = told.filter(({workClass}) => workClass === 'gang').map(({submittedAt}) => submittedAt);
	const from = Math.min(...submissions);
	const until = Math.max(...submissions);
	const used = executions.reduce((sum, {id, startedAt, endedAt}) => {
		const overlap = Math.max(0, Math.min(endedAt ?? until, until) - Math.max(startedAt, from));
		return sum + (overlap * (sizes.get(id) ?? 0));
	}, 0);
	return used / ((until - from) * workers * acceleratorsPerWorker);
}

function formatReasons(told: readonly Told[]): readonly string[] {
	const groups = [...groupBy(told.filter(({outcome}) => outcome !== 'completed'), ({outcome, reason}) => `${outcome} ${reason ?? ''}`)].toSorted(([first], [second]) => first.localeCompare(second));
	return groups.length === 0 ? ['  none'] : groups.map(([name, group]) => `  ${name}: ${group.length}`);
}

/** Formats the closing line. */
export function formatComparison(comparison: Comparison): string {
	const {submitted, completed, notRun, unknown, lost, doubled, misreported} = comparison;
	return `demo: submitted ${submitted}, completed ${completed}, not run ${notRun}, unknown ${unknown}, lost ${lost}, doubled ${doubled}, misreported ${misreported}`;
}
