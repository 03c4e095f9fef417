/** Measures the pace of runs over windows in which their neighbours are known. */
import type {MonotonicTime} from '#core';
import {
	longWindowMilliseconds, rememberedWindows, shortestWindowMilliseconds, smallestWindowPercent, windowPercent,
} from './constants.js';
import type {
	Measurement, PaceWindow, RunSample, TaskKind,
} from './types.js';

/** Key of a run. */
export function keyOfRun({task, run}: Pick<RunSample, 'task' | 'run'>): string {
	return `${task} ${run}`;
}

export function areSameNeighbours(first: readonly TaskKind[] | undefined, second: readonly TaskKind[] | undefined): boolean {
	return first === second || (first?.length === second?.length && first?.every((kind, index) => kind === second?.[index]) === true);
}

/** Whether a percentage can be one; wrong ones are ignored. */
function isPercentage(percent: number): boolean {
	return Number.isFinite(percent) && percent >= 0 && percent <= 100;
}

/** Continues the windows of the sampled runs, and drops those of runs that are not sampled any more. */
export function measureWindows(windows: ReadonlyMap<string, PaceWindow>, samples: readonly RunSample[]): Readonly<{windows: ReadonlyMap<string, PaceWindow>; measurements: readonly Measurement[]}> {
	const next = new Map<string, PaceWindow>();
	const measurements: Measurement[] = [];
	for (const sample of samples) {
		const key = keyOfRun(sample);
		const window = next.get(key) ?? windows.get(key) ?? beginWindow(sample);
		if (window === undefined) {
			continue;
		}

		const {percent, at, isEnded} = sample;
		if (!isPercentage(percent) || percent < window.percent || at < window.at) {
			next.set(key, window);
			continue;
		}

		const neighbours = areSameNeighbours(window.neighbours, sample.neighbours) ? sample.neighbours : undefined;
		if (isComplete(window, sample)) {
			measurements.push({sample, neighbours, pace: (percent - window.percent) / (at - window.at)});
		}

		if (isEnded) {
			next.delete(key);
		} else if (next.size < rememberedWindows || next.has(key)) {
			next.set(key, isComplete(window, sample) ? {percent, at, neighbours: sample.neighbours} : {...window, neighbours});
		}
	}

	return {windows: next, measurements};
}

function beginWindow({baseline: {percent, at}, neighbours}: RunSample): PaceWindow | undefined {
	return isPercentage(percent) && Number.isFinite(at) ? {percent, at, neighbours} : undefined;
}

function isComplete({percent, at}: Readonly<{percent: number; at: MonotonicTime}>, sample: RunSample): boolean {
	const gained = sample.percent - percent;
	const duration = sample.at - at;
	return duration >= shortestWindowMilliseconds
		&& (gained >= windowPercent || (gained >= smallestWindowPercent && (sample.isEnded || duration >= longWindowMilliseconds)));
}
