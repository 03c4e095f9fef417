/** Measures the pace of runs over windows in which their neighbours are known. */
import {
	longWindowMilliseconds, outlierFactor, rememberedWindows, shortestWindowMilliseconds, smallestWindowPercent, windowPercent,
} from './constants.js';
import type {
	Measurement, PacePoint, PaceWindow, RunSample, TaskKind,
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

		if (!isPercentage(sample.percent) || sample.percent < window.measured.percent || sample.at < window.measured.at) {
			next.set(key, window);
			continue;
		}

		const measured = measureSample(window, sample);
		if (measured.pace !== undefined) {
			const neighbours = areSameNeighbours(window.neighbours, sample.neighbours) ? sample.neighbours : undefined;
			measurements.push({sample, neighbours, pace: measured.pace});
		}

		if (sample.isEnded) {
			next.delete(key);
		} else if (next.size < rememberedWindows || next.has(key)) {
			next.set(key, measured.window);
		}
	}

	return {windows: next, measurements};
}

function beginWindow({baseline, neighbours}: RunSample): PaceWindow | undefined {
	return isPercentage(baseline.percent) && Number.isFinite(baseline.at) ? {start: baseline, measured: baseline, neighbours} : undefined;
}

/** Measures the pace since the window began, or since the last measurement if the pace changed then. The longer a window, the less the time of single reports matters. */
function measureSample(window: PaceWindow, {percent, at, neighbours, isEnded}: RunSample): Readonly<{window: PaceWindow; pace: number | undefined}> {
	const point = {percent, at};
	const {start, measured} = window;
	const hasChangedNeighbours = !areSameNeighbours(window.neighbours, neighbours);
	const isNew = measured.at === start.at;
	if (!isComplete(measured, point, isEnded && isNew)) {
		return {pace: undefined, window: hasChangedNeighbours ? {...window, neighbours: undefined} : window};
	}

	if (hasChangedNeighbours) {
		return {pace: findPace(start, point), window: {start: point, measured: point, neighbours}};
	}

	const change = isNew ? 0 : Math.abs(Math.log(findPace(measured, point) / findPace(start, measured)));
	if (change <= Math.log(outlierFactor)) {
		return {pace: findPace(start, point), window: {...window, measured: point}};
	}

	// The time of an end is known less well than that of a percentage.
	return isEnded ? {pace: undefined, window} : {pace: findPace(measured, point), window: {start: measured, measured: point, neighbours}};
}

function findPace(start: PacePoint, end: PacePoint): number {
	return (end.percent - start.percent) / (end.at - start.at);
}

/** Whether the part is long enough to be measured; the end of a run that was not measured before needs little progress. */
function isComplete(start: PacePoint, end: PacePoint, isLast: boolean): boolean {
	const gained = end.percent - start.percent;
	const duration = end.at - start.at;
	return duration >= shortestWindowMilliseconds
		&& (gained >= windowPercent || (gained >= smallestWindowPercent && (isLast || duration >= longWindowMilliseconds)));
}
