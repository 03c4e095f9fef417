/** Reports what callers get and what a decision costs, by size of the pool and load. */
import {defaultPolicy} from '#scheduling';
import type {Milliseconds} from '#core';
import {playScenario, type Played} from './model.js';
import {
	createScenario, surgingTenant, type Kind, type Unevenness,
} from './scenarios.js';

const sizes = [
	{workers: 160, rate: 1, length: 20_000}, {workers: 160, rate: 1.5, length: 20_000}, {workers: 1000, rate: 1, length: 5000},
] as const;
const kinds: readonly Kind[] = ['roster', 'curve', 'layout'];
const crestFactor = 2.5;
const seed = 7;
/** Multiple of the usual rate at which refusals begin. */
const surgeRate = 60;

/** Workers and tasks of the customer whose workers differ in speed. */
const unevenness: Unevenness = {
	speeds: [0.8, 1, 1.25], slowShare: 0.1, imagesPerKind: 2, interference: [], acceleratorsOfLayouts: 1, durationSpread: 0.15,
};
const interference: Unevenness['interference'] = [{image: 'layout-0', neighbour: 'curve-1', factor: 0.6}, {image: 'layout-0', neighbour: 'layout-1', factor: 0.6}];
const unevenSeeds = [7, 9] as const;

export function benchScheduling(): readonly string[] {
	return [...benchLoads(), ...describeSurge(), ...benchInterference(), ...benchSpeeds(), ...benchPasses()];
}

/** Work that neighbours slow, with and without keeping apart. */
function benchInterference(): readonly string[] {
	return unevenSeeds.flatMap(scenarioSeed => (['off', 'on'] as const).map(keepApart => {
		const played = playScenario(createScenario({
			workers: 160, rate: 0.7, factor: 1, length: 60_000, seed: scenarioSeed, unevenness: {...unevenness, interference},
		}), {policy: {...defaultPolicy, keepApart}});
		return `160 uneven workers with interference, seed ${scenarioSeed}, keep-apart ${keepApart}: ${describeUneven(played)}; `
			+ `${played.believedPairs} pairs believed, ${played.wrongPairs} of them wrong, ${played.keptApart} placements changed`;
	}));
}

/** Durations of gangs without speeds, with learned ones, and with the real ones; and pairs that are believed although nothing interferes. */
function benchSpeeds(): readonly string[] {
	return unevenSeeds.flatMap(scenarioSeed => (['none', 'learned', 'known'] as const).map(beliefs => {
		const played = playScenario(createScenario({
			workers: 96, rate: 1, factor: 1, length: 60_000, seed: scenarioSeed, unevenness: {...unevenness, acceleratorsOfLayouts: 2},
		}), {beliefs});
		return `96 uneven workers, seed ${scenarioSeed}, speeds ${beliefs}: ${describeUneven(played)}; `
			+ `${played.believedSpeeds} speeds believed, ${played.wrongSpeeds} of them off by over 12%; ${played.wrongPairs} pairs believed without cause`;
	}));
}

/** Cost of decisions with and without speeds. */
function benchPasses(): readonly string[] {
	return [{workers: 160, length: 20_000}, {workers: 1000, length: 5000}].flatMap(({workers, length}) => (['none', 'known'] as const).map(beliefs => {
		const played = playScenario(createScenario({
			workers, factor: crestFactor, length, seed, unevenness,
		}), {beliefs});
		return `${workers} uneven workers, speeds ${beliefs}: milliseconds, mean / longest: ${describeCosts(played)}`;
	}));
}

function describeUneven({jobs, coreSeconds, slowedCoreSeconds, gangStretch}: Played): string {
	const owed = jobs.reduce((total, job) => total + job.owed, 0);
	const earned = jobs.reduce((total, job) => total + job.earned, 0);
	return `${(slowedCoreSeconds / coreSeconds).toFixed(3)} of the work slowed, gangs take ${gangStretch.toFixed(3)} of their usual duration, earned ${(earned / owed).toFixed(3)} of owed`;
}

function benchLoads(): readonly string[] {
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

/** Compares admission of all jobs with admission by the forecast while one team sends far more than the pool can do. */
function describeSurge(): readonly string[] {
	const scenario = createScenario({
		workers: 24, factor: 1, length: 15_000, seed, surgeRate,
	});
	const all = playScenario(scenario, {admission: 'all'});
	const byForecast = playScenario(scenario, {admission: 'by-forecast'});
	const refused = byForecast.jobs.filter(({retryAfter}) => retryAfter !== undefined);
	const wronglyRefused = byForecast.jobs.filter(({retryAfter}, index) => retryAfter !== undefined && (all.jobs[index]?.earned ?? 0) > 0);
	return [
		`24 workers, one team's surge of ${surgeRate} times the usual rate, ${all.jobs.length} jobs: all accepted, ${describeShares(all)}; `
		+ `by forecast, ${describeShares(byForecast)}, ${refused.length} refused, of which ${wronglyRefused.length} earned something when all were accepted`,
		`  estimate of the first start: ${describeErrors(all)}`,
	];
}

function describeShares({jobs}: Played): string {
	const shareOf = (counted: Played['jobs']) => (counted.reduce((total, {earned}) => total + earned, 0) / counted.reduce((total, {owed}) => total + owed, 0)).toFixed(3);
	return `earned of owed ${shareOf(jobs)}, by other teams ${shareOf(jobs.filter(({tenant}) => tenant !== surgingTenant))}`;
}

function describeErrors({estimateErrors}: Played): string {
	const describe = (errors: readonly Milliseconds[]) => {
		const sorted = errors.toSorted((first, second) => first - second);
		const quantile = (share: number) => Math.round(sorted[Math.floor((sorted.length - 1) * share)] ?? 0);
		return `${sorted.length} with median ${quantile(0.5)} and 90% within ${quantile(0.9)} ms`;
	};

	const errors = estimateErrors.map(({estimated, actual}) => actual - estimated);
	return `too early ${describe(errors.filter(error => error > 0))}, too late ${describe(errors.filter(error => error <= 0).map(error => -error))}`;
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

function describeCosts({durations, forecastDurations}: Played): string {
	const describe = (values: readonly Milliseconds[]) => `${(values.reduce((total, value) => total + value, 0) / Math.max(1, values.length)).toFixed(2)} / ${Math.max(0, ...values).toFixed(1)}`;
	return `renewal ${describe(durations.renewed)}, submission ${describe(durations.submitted)}, tick ${describe(durations.tick)}, pass ${describe(durations.pass)}, forecast ${describe(forecastDurations)}`;
}
