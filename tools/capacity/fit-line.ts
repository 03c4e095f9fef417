import type {Line} from './types.js';

/** Fits a straight line by least squares. */
export function fitLine(points: ReadonlyArray<readonly [x: number, y: number]>): Line {
	const meanX = mean(points.map(([x]) => x));
	const meanY = mean(points.map(([, y]) => y));
	const covariance = mean(points.map(([x, y]) => (x - meanX) * (y - meanY)));
	const variance = mean(points.map(([x]) => (x - meanX) ** 2));
	const slope = variance === 0 ? 0 : covariance / variance;
	return {intercept: meanY - (slope * meanX), slope};
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
