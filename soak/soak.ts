/** Command line of the fault soak. */
import {mkdir, readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import sade from 'sade';
import {checkHistory} from './check.js';
import {planSoak} from './plan.js';
import {regressionSeeds} from './regressions.js';
import {plotHistory, summarize} from './report.js';
import {runSoak} from './run.js';
import {
	planScopes, type History, type PlanScope, type SoakPlan, type SoakSize,
} from './types.js';

type Options = Readonly<{seeds: string; seed?: string; seconds: string; entries: string; workers: string; scope: string; out: string; check?: string}>;

function report(history: History): boolean {
	const violations = checkHistory(history);
	console.log(summarize(history, violations));
	for (const {invariant, job, detail} of violations) {
		console.log(`  ${invariant}: ${job} ${detail}`);
	}

	return violations.length === 0;
}

async function checkFile(file: string): Promise<boolean> {
	const history = JSON.parse(await readFile(file, 'utf8')) as History;
	console.log(plotHistory(history).join('\n'));
	return report(history);
}

/** Chooses new seeds for each invocation; seeds of earlier failures run first. */
function choosePlans({seeds, seed}: Options, size: SoakSize, scope: PlanScope): readonly SoakPlan[] {
	if (seed !== undefined) {
		return [planSoak(Number(seed), size, scope)];
	}

	const first = Math.floor(Date.now() / 1000) % 1_000_000;
	const fresh = Array.from({length: Number(seeds)}, (_, index) => planSoak(first + index, size, scope));
	return [...regressionSeeds.map(known => planSoak(known.seed, known.size, known.scope)), ...fresh];
}

async function main(options: Options): Promise<void> {
	if (options.check !== undefined) {
		process.exitCode = await checkFile(options.check) ? 0 : 1;
		return;
	}

	const size = {entries: Number(options.entries), workers: Number(options.workers), seconds: Number(options.seconds)};
	const scope = planScopes.find(known => known === options.scope);
	if (scope === undefined) {
		console.error(`scope ${options.scope} is not one of ${planScopes.join(', ')}`);
		process.exitCode = 2;
		return;
	}

	await mkdir(options.out, {recursive: true});
	const failed: number[] = [];
	for (const plan of choosePlans(options, size, scope)) {
		const history = await runSoak(plan);
		if (!report(history)) {
			failed.push(plan.seed);
			await writeFile(`${options.out}/seed-${plan.seed}.json`, JSON.stringify(history));
		}
	}

	console.log(failed.length === 0 ? 'no promise was broken' : `promises were broken with seeds ${failed.join(', ')}; histories are in ${options.out}`);
	process.exitCode = failed.length === 0 ? 0 : 1;
}

sade('soak', true)
	.describe('Injects random faults into the programs on loopback and checks their invariants')
	.option('--seeds', 'Number of new seeds', '5')
	.option('--seed', 'Run only this seed')
	.option('--seconds', 'Duration of the faults for each seed, in seconds', '20')
	.option('--entries', 'Number of entries', '3')
	.option('--workers', 'Number of workers', '5')
	.option('--scope', `Faults: ${planScopes.join(', ')}`, 'programs-and-workers')
	.option('--out', 'Directory for the histories of failed seeds', 'target/soak')
	.option('--check', 'Check a history file of an earlier run')
	.action(main)
	.parse(process.argv);
