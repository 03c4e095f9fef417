/** Measures the resource use of the daemons at several sizes in one run on loopback, and prints slopes for docs/CAPACITY.md. */
import {spawn} from 'node:child_process';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {killAll, startDaemon, type Daemon} from '#test/support/processes';
import {fitLine} from './capacity/fit-line.js';
import {measureAgents} from './capacity/measure-agent.js';
import {measureEntries} from './capacity/measure-entry.js';
import {readResidentMegabytes} from './capacity/process-cost.js';
import type {Cost, Sample} from './capacity/types.js';

const entrySizes = [25, 50, 100, 226] as const;
const agentSizes = [1, 2, 4] as const;

async function measureRuntimeFloor(): Promise<number> {
	const child = spawn(process.execPath, ['-e', 'setTimeout(() => {}, 60_000)'], {stdio: 'ignore'});
	await delay(1000);
	const megabytes = await readResidentMegabytes(child.pid ?? 0);
	child.kill('SIGKILL');
	return megabytes;
}

function formatSamples(role: string, unit: string, samples: readonly Sample[]): readonly string[] {
	const rows = samples.map(({size, cost}) => `| ${size} | ${(cost.processor * 100).toFixed(2)} | ${cost.residentMegabytes.toFixed(1)} | ${cost.bytesPerSecond.toFixed(0)} |`);
	return [`| ${role}: ${unit} | % of a core | resident MB | bytes/s |`, '|---|---|---|---|', ...rows, formatSlopes(samples), ''];
}

function formatSlopes(samples: readonly Sample[]): string {
	const slopeOf = (read: (cost: Cost) => number) => fitLine(samples.map(({size, cost}) => [size, read(cost)])).slope;
	return `| slope of one | ${(slopeOf(cost => cost.processor) * 100).toFixed(4)} | ${slopeOf(cost => cost.residentMegabytes).toFixed(3)} | ${slopeOf(cost => cost.bytesPerSecond).toFixed(1)} |`;
}

async function measure(): Promise<void> {
	const daemons: Daemon[] = [];
	try {
		const store = await startDaemon('stand-in-store', {'listen-port': 0});
		const worker = await startDaemon('stand-in-worker', {'listen-port': 0});
		daemons.push(store, worker);
		const floor = await measureRuntimeFloor();
		const entries = await measureEntries(`http://127.0.0.1:${store.ports['http']}`, entrySizes, daemons);
		const agents = await measureAgents(`http://127.0.0.1:${worker.ports['http']}`, agentSizes, daemons);
		const lines = [
			`Empty Node.js process: ${floor.toFixed(1)} MB resident.`,
			'',
			...formatSamples('entry', 'agents connected', entries),
			...formatSamples('agent', 'entries connected', agents),
		];
		process.stdout.write(`${lines.join('\n')}\n`);
	} finally {
		await killAll(daemons);
	}
}

await measure();
