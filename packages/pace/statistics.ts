/** Statistics of small samples. */
import {outlierFactor} from './constants.js';

/** Median; NaN for no values. */
export function findMedian(values: readonly number[]): number {
	const sorted = values.toSorted((first, second) => first - second);
	const middle = Math.floor(sorted.length / 2);
	const upper = sorted[middle] ?? Number.NaN;
	return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? upper) + upper) / 2;
}

export function findMean(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0) / values.length;
}

/** Mean of logarithms without those that are far from the median: a task that is long, or a worker that was slow for a while. */
export function findUsualMean(logarithms: readonly number[]): number {
	// One of the values, so that at least that one is not left out.
	const median = logarithms.toSorted((first, second) => first - second)[Math.floor(logarithms.length / 2)] ?? Number.NaN;
	return findMean(logarithms.filter(logarithm => Math.abs(logarithm - median) <= Math.log(outlierFactor)));
}

/** Squared standard error of the mean; deviations below `smallestDeviation` are not believed. */
export function measureSquaredError(values: readonly number[], smallestDeviation: number): number {
	const mean = findMean(values);
	const variance = values.reduce((total, value) => total + ((value - mean) ** 2), 0) / Math.max(1, values.length - 1);
	return Math.max(variance, smallestDeviation ** 2) / values.length;
}
