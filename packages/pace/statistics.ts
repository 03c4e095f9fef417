/** Statistics of small samples. */

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

/** Squared standard error of the mean; deviations below `smallestDeviation` are not believed. */
export function measureSquaredError(values: readonly number[], smallestDeviation: number): number {
	const mean = findMean(values);
	const variance = values.reduce((total, value) => total + ((value - mean) ** 2), 0) / Math.max(1, values.length - 1);
	return Math.max(variance, smallestDeviation ** 2) / values.length;
}
