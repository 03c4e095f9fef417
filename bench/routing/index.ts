import {measureRoutingCost} from './cost.js';
import {play} from './model.js';
import {createMixedCosts, createSwing} from './scenarios.js';
import type {Completion, Policy, Scenario} from './types.js';

const policies: readonly Policy[] = ['product', 'round-robin', 'least-outstanding', 'two-choices'];
const seed = 16;
/** Short requests at the crest should end within this many service times. */
const crestBound = 3;
const choiceBoundMicroseconds = 20;

/** Plays every scenario under the product's decisions and the simpler ones, and returns the lines of the report. */
export async function benchRouting(): Promise<readonly string[]> {
	const scenarios = [
		createMixedCosts(seed),
		createSwing(seed, {stragglers: false, failing: false}),
		createSwing(seed, {stragglers: true, failing: false}),
		createSwing(seed, {stragglers: true, failing: true}),
	];
	return [...scenarios.flatMap(reportScenario), ...reportCost()];
}

function reportScenario(scenario: Scenario): readonly string[] {
	const rows = policies.map(policy => ({policy, ...summarize(scenario, play(scenario, policy, seed).completions)}));
	return [
		`routing: ${scenario.name}; ${scenario.arrivals.length} requests, ${scenario.entries} entries, seed ${seed}; completion in ms`,
		...rows.map(row => [
			row.policy.padEnd(18),
			`short p50 ${format(row.short.p50)} p99 ${format(row.short.p99)}`,
			`long p50 ${format(row.long.p50)} p99 ${format(row.long.p99)}`,
			`crest short p50 ${format(row.crest.p50)} p99 ${format(row.crest.p99)}`,
			`wait of short behind queued long p99 ${format(row.behindLong)}`,
			`served within the crest: short ${formatShare(row.servedShort)} long ${formatShare(row.servedLong)}`,
			`failed ${formatShare(row.failed)} refused ${formatShare(row.refused)}`,
		].join(' | ')),
		reportAim(rows[0]?.crest.p99 ?? Infinity, rows[0]?.shortService ?? 0),
	];
}

function reportAim(measured: number, service: number): string {
	const bound = crestBound * service;
	const verdict = measured <= bound ? 'met' : 'NOT MET';
	return `aim: p99 of short requests at the crest (stragglers left out) at most ${crestBound} service times = ${format(bound)} ms: ${verdict} with ${format(measured)} ms`;
}

type Quantiles = Readonly<{p50: number; p99: number}>;
type Summary = Readonly<{
	short: Quantiles;
	long: Quantiles;
	/** Short requests that arrived at the crest and are no stragglers. */
	crest: Quantiles;
	behindLong: number;
	servedShort: number;
	servedLong: number;
	failed: number;
	refused: number;
	shortService: number;
}>;

/** The plans of the model hold one class each, so that figures per class are figures per plan as well. */
function summarize({crest: [from, to]}: Scenario, completions: readonly Completion[]): Summary {
	const ran = completions.filter(({isFailed, isRefused}) => !isFailed && !isRefused);
	const short = ran.filter(({arrival}) => arrival.serviceClass === 'short');
	const isAtCrest = ({arrival: {at}}: Completion) => at >= from && at < to;
	const usual = short.filter(({arrival}) => !arrival.isStraggler);
	const served = (serviceClass: 'short' | 'long') => {
		const arrived = completions.filter(completion => isAtCrest(completion) && completion.arrival.serviceClass === serviceClass);
		return arrived.filter(({endedAt, isFailed, isRefused}) => endedAt <= to && !isFailed && !isRefused).length / Math.max(1, arrived.length);
	};

	return {
		short: quantilesOf(short),
		long: quantilesOf(ran.filter(({arrival}) => arrival.serviceClass === 'long')),
		crest: quantilesOf(usual.filter(isAtCrest)),
		behindLong: quantile(short.map(({waitedBehindLong}) => waitedBehindLong), 0.99),
		servedShort: served('short'),
		servedLong: served('long'),
		failed: completions.filter(({isFailed}) => isFailed).length / completions.length,
		refused: completions.filter(({isRefused}) => isRefused).length / completions.length,
		shortService: Math.min(...usual.map(({arrival}) => arrival.serviceMilliseconds)),
	};
}

function quantilesOf(completions: readonly Completion[]): Quantiles {
	const durations = completions.map(({arrival, endedAt}) => endedAt - arrival.at);
	return {p50: quantile(durations, 0.5), p99: quantile(durations, 0.99)};
}

function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function reportCost(): readonly string[] {
	return [10, 230].flatMap(workers => {
		const {choiceMicroseconds, scanMicroseconds} = measureRoutingCost(workers);
		return [
			`routing cost with ${workers} workers: ${choiceMicroseconds.toFixed(2)} µs a choice, ${scanMicroseconds.toFixed(2)} µs a plain scan, `
			+ `ratio ${(choiceMicroseconds / scanMicroseconds).toFixed(3)}`,
			`aim: under ${choiceBoundMicroseconds} µs a choice: ${choiceMicroseconds < choiceBoundMicroseconds ? 'met' : 'NOT MET'} with ${choiceMicroseconds.toFixed(2)} µs`,
		];
	});
}

function format(milliseconds: number): string {
	return milliseconds.toFixed(milliseconds < 100 ? 1 : 0);
}

function formatShare(share: number): string {
	return `${(share * 100).toFixed(1)}%`;
}
