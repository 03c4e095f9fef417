import {
	chances, createPresentScenario, createTargetScenario, demand,
} from './scenarios.js';
import {measureStrategy} from './compare-strategies.js';
import {measureDecisionCost} from './decision-cost.js';
import {firstFitPolicy, layoutPolicy, twoPhasePolicy} from './policies.js';
import {simulate} from './simulate.js';
import type {Policy, Result, Scenario} from './types.js';

const seed = 16;
const policies: readonly Policy[] = [layoutPolicy, firstFitPolicy, twoPhasePolicy];
/** Urgent work starts within this time, the grace period of evicted borrowers included. */
const waitAimMilliseconds = 5900;
const fragmentationAim = 0.5;
const decisionAimMilliseconds = 5;

/** Runs the placement benchmark: the product beside simple versions, with the same seed, in virtual time. */
export async function benchPlacement(): Promise<readonly string[]> {
	return [
		`placement: ${percent(demand)} demand, ${percent(chances.wrongDeclarationShare)} wrong declared run times (no policy here reads them), `
		+ `${percent(chances.stragglerShare)} stragglers of ${chances.stragglerFactor} times, ends seen after up to 2 s, seed ${seed}`,
		...[createPresentScenario(), createTargetScenario()].flatMap(scenario => reportScenario(scenario)),
		...reportStrategies(),
		...reportDecisions(),
	];
}

function reportScenario(scenario: Scenario): readonly string[] {
	const results = policies.map(policy => ({policy, result: simulate(scenario, policy, seed)}));
	const [product, firstFit] = results;
	const longest = Math.max(...product!.result.classes.get('guaranteed')!.waits);
	const ratio = product!.result.fragmentation / firstFit!.result.fragmentation;
	return [
		`${scenario.name}, ${scenario.horizon / 3_600_000} h, ${scenario.layout.cells.length} cells`,
		...results.flatMap(({policy, result}) => reportResult(policy, result)),
		aim(longest <= waitAimMilliseconds, `longest wait of a guaranteed shape at most 5.9 s: ${seconds(longest)}`),
		aim(ratio < fragmentationAim, `fragmentation below half of first fit's: ${ratio.toFixed(2)} of it`),
	];
}

function reportResult({name}: Policy, {classes, fragmentation, ruledFragmentation, utilisation, evictions}: Result): readonly string[] {
	const summary = `utilisation ${percent(utilisation)}, fragmentation ${percent(fragmentation)} (${percent(ruledFragmentation)} with cells of others counted as unusable), ${evictions} evictions`;
	return [
		`  ${name}: ${summary}`,
		...[...classes].map(([gangClass, {completions, waits}]) => {
			const completion = `completion p50 ${seconds(quantile(completions, 0.5))} p99 ${seconds(quantile(completions, 0.99))}`;
			const wait = `wait p50 ${seconds(quantile(waits, 0.5))} p99 ${seconds(quantile(waits, 0.99))} longest ${seconds(quantile(waits, 1))}`;
			return `    ${gangClass}: ${completions.length} finished, ${completion}; ${waits.length} submitted, ${wait}`;
		}),
	];
}

function reportStrategies(): readonly string[] {
	return (['best-fit', 'buddy'] as const).map(strategy => {
		const {unmet, moved, wholeWorkers} = measureStrategy(strategy, seed);
		const placed = `${unmet.toFixed(2)} accelerators unmet on average, ${moved.toFixed(3)} cells moved per change`;
		return `cells by ${strategy}, 300 changes of guarantees: ${placed}, ${percent(wholeWorkers)} of the rest in whole workers`;
	});
}

function reportDecisions(): readonly string[] {
	const costs = measureDecisionCost();
	const slowest = Math.max(...costs.map(({milliseconds}) => milliseconds));
	return [
		...costs.map(({name, kind, milliseconds, ratio}) => `one placement among 4,300 workers, ${name} (${kind}): ${milliseconds.toFixed(2)} ms, ${ratio.toFixed(1)} times a plain scan`),
		aim(slowest < decisionAimMilliseconds, `one placement under 5 ms: slowest median ${slowest.toFixed(2)} ms`),
	];
}

function aim(isMet: boolean, text: string): string {
	return `  aim ${isMet ? 'met' : 'NOT MET'}: ${text}`;
}

function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((first, second) => first - second);
	return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function seconds(milliseconds: number): string {
	return `${(milliseconds / 1000).toFixed(1)} s`;
}

function percent(share: number): string {
	return `${(share * 100).toFixed(1)}%`;
}
