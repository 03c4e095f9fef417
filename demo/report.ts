import {createLatencyHistogram} from '#kernel';
import {groupBy} from '#core';
import type {AcceleratorUse} from './accelerator-use.js';
import type {Comparison, CallerResult} from './types.js';

/** Formats the completion times per class and plan, the accelerator use, and the reasons of refusals and unknown outcomes. */
export function formatReport(results: readonly CallerResult[], use: AcceleratorUse): readonly string[] {
	return [
		'class  plan      submitted  completed  p50 ms  p99 ms',
		...formatClasses(results),
		'',
		`accelerators while gangs were submitted: utilisation ${formatShare(use.utilisation)}, fragmentation ${formatShare(use.fragmentation)} (free ones that no waiting gang could use)`,
		'',
		'refusals and unknown outcomes by reason:',
		...formatReasons(results),
	];
}

function formatClasses(results: readonly CallerResult[]): readonly string[] {
	const groups = [...groupBy(results, ({workClass, plan}) => `${workClass.padEnd(6)} ${plan.padEnd(9)}`)].toSorted(([first], [second]) => first.localeCompare(second));
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

function formatReasons(results: readonly CallerResult[]): readonly string[] {
	const groups = [...groupBy(results.filter(({outcome}) => outcome !== 'completed'), ({outcome, reason}) => `${outcome} ${reason ?? ''}`)]
		.toSorted(([first], [second]) => first.localeCompare(second));
	return groups.length === 0 ? ['  none'] : groups.map(([name, group]) => `  ${name}: ${group.length}`);
}

/** Formats the summary line. */
export function formatComparison(comparison: Comparison): string {
	const {submitted, completed, notRun, unknown, lost, doubled, misreported} = comparison;
	return `demo: submitted ${submitted}, completed ${completed}, not run ${notRun}, unknown ${unknown}, lost ${lost}, doubled ${doubled}, misreported ${misreported}`;
}

function formatShare(share: number): string {
	return `${(share * 100).toFixed(1)}%`;
}
