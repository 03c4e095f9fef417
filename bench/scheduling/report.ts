/** Reports what callers get and what a decision costs, by size of the pool and load. */
import type {Milliseconds} from '#core';
import {playScenario, type Played} from './model.js';
import {createScenario, type Kind} from './scenarios.js';

const sizes = [
	{workers: 160, rate: 1, length: 20_000}, {workers: 160, rate: 1.5, length: 20_000}, {workers: 1000, rate: 1, length: 5000},
] as const;
const kinds: readonly Kind[] = ['roster', 'curve', 'layout'];
const crestFactor = 2.5;
const seed = 7;

export function benchScheduling(): readonly string[] {
	return sizes.flatMap(({workers, rate, length}) => {
		const played = playScenario(createScenario({
			workers, rate, factor: crestFactor, length, seed,
		}));
		return [
			`${workers} workers, ${rate} times the usual rate, crest of ${crestFactor}: ${describeService(played)}`,
			`  milliseconds, mean / longest: ${describeCosts(played)}`,
		];
	});
}

function describeService({jobs, starts, stops, spreadStarts, discardedCoreSeconds, onTimeCoreSeconds}: Played): string {
	const shares = kinds.map(kind => {
		const ofKind = jobs.filter(job => job.kind === kind);
		const owed = ofKind.reduce((total, job) => total + job.owed, 0);
		const earned = ofKind.reduce((total, job) => total + job.earned, 0);
		return owed === 0 ? `no ${kind}` : `${kind} ${(earned / owed).toFixed(2)}`;
	});
	return `${jobs.length} jobs, earned of owed ${shares.join(', ')}; ${starts} starts, ${stops} stops, ${spreadStarts} in several racks; `
		+ `discarded ${(discardedCoreSeconds / Math.max(1, onTimeCoreSeconds)).toFixed(3)} of the work on time`;
}

function describeCosts({durations}: Played): string {
	const describe = (values: readonly Milliseconds[]) => `${(values.reduce((total, value) => total + value, 0) / Math.max(1, values.length)).toFixed(2)} / ${Math.max(0, ...values).toFixed(1)}`;
	return `renewal ${describe(durations.renewed)}, submission ${describe(durations.submitted)}, tick ${describe(durations.tick)}, pass ${describe(durations.pass)}`;
}
