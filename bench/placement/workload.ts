import {
	pickInteger, type JobId, type Milliseconds, type RandomSource, type Timestamp,
} from '#core';
import {chances} from './scenarios.js';
import type {BenchGang, Source} from './types.js';

/** Draws the next gang of a source. Every gang takes the same number of draws, so that all policies meet the same work. */
export function drawGang(source: Source, {position, number, random, submittedAt}: Readonly<{
	position: number; number: number; random: RandomSource; submittedAt: Timestamp;
}>): BenchGang {
	const {gangClass, plan, shapes, kind} = source;
	const shape = shapes[pickInteger(random, shapes.length)]!;
	const ordinary = drawExponential(random, source.run);
	const run = random() < chances.stragglerShare ? ordinary * chances.stragglerFactor : ordinary;
	const isWrong = random() < chances.wrongDeclarationShare;
	const error = 10 ** ((random() * 2) - 1);
	return {
		gangClass,
		run,
		declared: isWrong ? ordinary * error : ordinary,
		checkpoint: drawBetween(random, chances.checkpointMilliseconds),
		reportLag: drawBetween(random, chances.reportLagMilliseconds),
		request: {
			job: `s${position}-${number}` as JobId, plan, shape, preemptible: gangClass === 'borrowing', submittedAt,
		},
		...(kind === 'cell' ? {source: position} : {}),
	};
}

export function drawExponential(random: RandomSource, mean: Milliseconds): Milliseconds {
	return -Math.log(1 - random()) * mean;
}

function drawBetween(random: RandomSource, [low, high]: readonly [number, number]): number {
	return low + (random() * (high - low));
}
