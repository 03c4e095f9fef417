/* eslint-disable camelcase -- names of the platform's protocol */
/** Runs a case: starts the project's programs with the commands of the deploy file, with stand-ins of clients, workers and the platform on loopback. */
import {spawn} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
import {request} from 'node:http';
import {createServer} from 'node:net';
import process from 'node:process';
import {servePlatformStore} from '../../test/support/platform/store.ts';
import {createBoard, startWorker} from './worker.mjs';

/** The figures of the site file that `claim.txt` names. */
export const bounds = {
	graceSeconds: 6, holdMaximumMilliseconds: 10_000, stopMilliseconds: 400, gangTimeoutMilliseconds: 3000, reclaimMilliseconds: 2900, visibleMilliseconds: 3000, finishSeconds: 14,
};

export const isDisturbed = process.env.TROUBLE !== '0';

const queueHost = 'queue.example';
const service = 'svc';
const clientTimeoutMilliseconds = 3000;
const clientRetries = 4;
const restartMilliseconds = 300;
const maximumSeconds = 115;
/** What kept a case from running. */
class CaseError extends Error {}

export async function sleep(milliseconds) {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Runs `play` and ends the process with 1 if it reports a broken rule, 0 if it held, and 2 if the case could not run. */
export async function runCase(folder, play) {
	const lines = [];
	const startedAt = Date.now();
	const record = line => {
		lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${line}`);
	};

	const closers = [];
	const limit = setTimeout(() => {
		record(`the case did not end within ${maximumSeconds} s`);
		end(2);
	}, maximumSeconds * 1000);
	let hasEnded = false;
	const end = async code => {
		if (hasEnded) {
			return;
		}

		hasEnded = true;
		clearTimeout(limit);
		for (const close of closers.toReversed()) {
			await close();
		}

		await writeFile(`${folder}/record.txt`, `${lines.join('\n')}\n`);
		process.exitCode = code;
	};

	try {
		record(isDisturbed ? 'with the disruption' : 'without the disruption');
		const broken = await play({record, closers});
		record(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
		await end(broken === undefined ? 0 : 1);
	} catch (error) {
		record(`the case could not run: ${error.message}`);
		await end(2);
	}
}

/** Starts entries, agents, workers and a store, and waits until work can be scheduled. */
export async function startDeployment({entries, workers, queues, tenants}, {record, closers}) {
	const board = createBoard({
		stopMilliseconds: bounds.stopMilliseconds, maximumHoldMilliseconds: bounds.holdMaximumMilliseconds, gangTimeoutMilliseconds: bounds.gangTimeoutMilliseconds,
	});
	const store = await servePlatformStore();
	closers.push(async () => store.close());
	store.put('op/config', {
		version: 3,
		routes: queues.map(({name, priority, maximumAttempts = 3}) => ({
			name, host: queueHost, prefix: `/${name}/`, service, priority, max_attempts: maximumAttempts, stretch: 3, target_duration_ms: 3000, public: false,
		})),
		services: [{name: service, enforces_capacity: true}],
		tenants: tenants.map(({name, key, gpus}) => ({name, api_keys: [key], guaranteed: {gpus}})),
		limits: {},
	});
	const seeds = `${hostOf(1)}:1`;
	const entryHosts = Array.from({length: entries}, (_, index) => hostOf(1 + index));
	const bases = await Promise.all(entryHosts.map(async host => findPorts(host)));
	const [base] = bases;
	if (bases.some(other => other !== base)) {
		throw new CaseError('the same ports are not free on all addresses');
	}

	const entryPrograms = await Promise.all(entryHosts.map(async (host, index) => startProgram('entry', {
		DOTTERELNOTCH_ENTRY: `edge-${index + 1}`,
		DOTTERELNOTCH_ZONE: 'z-1',
		DOTTERELNOTCH_LISTEN_HOST: host,
		DOTTERELNOTCH_PEER_PORTS: `${base},${base + 1}`,
		DOTTERELNOTCH_FRONT_ADDRESS: `${host}:${base + 2}`,
		DOTTERELNOTCH_READINESS_ADDRESS: `${host}:${base + 3}`,
		DOTTERELNOTCH_STORE_ADDRESS: store.address,
		DOTTERELNOTCH_SEEDS: seeds,
		DOTTERELNOTCH_METRICS_PORT: String(base + 1),
		DOTTERELNOTCH_GRACE_SECONDS: String(bounds.graceSeconds),
		DOTTERELNOTCH_PROCESSOR_SHARE: '0.675',
		DOTTERELNOTCH_PROCESSOR_SPEED: '1',
	}, {record, closers})));
	const running = [];
	for (const [index, {id, rack, capacity}] of workers.entries()) {
		const host = hostOf(101 + index);
		const worker = await startWorker({
			host, id, rack, service, capacity, board, record,
		});
		closers.push(async () => worker.close());
		running.push({worker, host});
	}

	const agentPrograms = await Promise.all(running.map(async ({worker, host}, index) => startProgram('agent', {
		DOTTERELNOTCH_AGENT: `side-${index + 1}`,
		DOTTERELNOTCH_LISTEN_HOST: host,
		DOTTERELNOTCH_PEER_PORTS: `${base},${base + 1}`,
		DOTTERELNOTCH_ANNOUNCEMENT_ADDRESS: `${host}:${base + 4}`,
		DOTTERELNOTCH_WORKER_ADDRESS: worker.address,
		DOTTERELNOTCH_STORE_ADDRESS: store.address,
		DOTTERELNOTCH_SEEDS: seeds,
		DOTTERELNOTCH_MAXIMUM_HOLD_MILLISECONDS: String(bounds.holdMaximumMilliseconds),
		DOTTERELNOTCH_METRICS_PORT: String(base + 1),
	}, {record, closers})));
	for (const {worker, host} of running) {
		worker.announceTo(`${host}:${base + 4}`);
	}

	await waitFor('all workers are usable', async () => {
		const pages = await Promise.all(entryHosts.map(async host => readMetrics(`${host}:${base + 1}`)));
		return pages.some(page => page.includes(`dotterelnotch_value{name="usable-workers"} ${workers.length}\n`));
	});
	record(`${entries} entries, ${workers.length} workers are ready`);
	return {
		store,
		board,
		workers: running.map(({worker}) => worker),
		entries: entryPrograms,
		agents: agentPrograms,
		fronts: entryHosts.map(host => `${host}:${base + 2}`),
		listRuns: job => running.flatMap(({worker}) => worker.runs).filter(({task}) => task.startsWith(`${job}.`)),
	};
}

/** Addresses that other runs of cases do not use at the same time. */
function hostOf(index) {
	return `127.${1 + (process.pid % 250)}.${Math.floor(process.pid / 250) % 250}.${index}`;
}

const portsPerHost = 5;
const firstPort = 21_000;

/** Finds ports in a row that are free on the address. */
async function findPorts(host) {
	for (let base = firstPort; base < firstPort + 1000; base += portsPerHost) {
		const isFree = await Promise.all(Array.from({length: portsPerHost}, async (_, index) => canListen(host, base + index)));
		if (isFree.every(Boolean)) {
			return base;
		}
	}

	throw new CaseError(`no free ports on ${host}`);
}

async function canListen(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

const commands = {
	entry: ['--max-old-space-size=96', 'target/platform-entry.mjs'],
	agent: ['--max-old-space-size=64', 'target/platform-agent.mjs'],
};

/** Starts a program and, as the platform does, starts it again whenever it ends. */
async function startProgram(role, settings, {record, closers}) {
	const name = settings.DOTTERELNOTCH_ENTRY ?? settings.DOTTERELNOTCH_AGENT;
	let child;
	let isEnded = false;
	let restartTimer;
	const start = async () => {
		child = spawn(process.execPath, commands[role], {
			env: {PATH: process.env.PATH, LANG: process.env.LANG ?? 'C', ...settings}, stdio: ['ignore', 'pipe', 'ignore'],
		});
		child.once('exit', (code, signal) => {
			record(`${role} ${name} ended: ${signal ?? `code ${code}`}`);
			if (!isEnded) {
				restartTimer = setTimeout(restart, restartMilliseconds);
			}
		});
		await waitUntilReady(child, name);
		record(`${role} ${name} is up`);
	};

	const restart = async () => {
		try {
			await start();
		} catch (error) {
			record(error.message);
		}
	};

	closers.push(async () => {
		isEnded = true;
		clearTimeout(restartTimer);
		if (child.exitCode === null && child.signalCode === null) {
			const exited = new Promise(resolve => {
				child.once('exit', resolve);
			});
			child.kill('SIGKILL');
			await exited;
		}
	});
	await start();
	return {
		name,
		signal(signal) {
			record(`${role} ${name} gets ${signal}`);
			child.kill(signal);
		},
	};
}

/** Waits for the line that says so, and goes on reading the log, so that the program can write. */
async function waitUntilReady(child, name) {
	await new Promise((resolve, reject) => {
		let text = '';
		child.stdout.setEncoding('utf8');
		child.stdout.on('data', chunk => {
			text = (text + chunk).slice(-20_000);
			if (text.includes('"ready":true')) {
				resolve();
			}
		});
		child.once('exit', () => {
			reject(new CaseError(`${name} ended before it was ready`));
		});
	});
}

async function readMetrics(address) {
	try {
		const response = await fetch(`http://${address}/metrics`);
		return await response.text();
	} catch {
		return '';
	}
}

export async function waitFor(what, ask, milliseconds = 20_000) {
	const deadline = Date.now() + milliseconds;
	while (!(await ask())) {
		if (Date.now() > deadline) {
			throw new CaseError(`not reached in ${milliseconds} ms: ${what}`);
		}

		await sleep(50);
	}
}

/** A client of one tenant. */
export function createClient({
	key, fronts, board, record,
}) {
	let next = 0;
	const call = async (method, path, body) => {
		const front = fronts[next++ % fronts.length];
		const answer = await send(front, {
			method, path, key, body,
		});
		record(`client ${method} ${path} at ${front}: ${answer === undefined ? 'no answer' : `${answer.status} ${answer.text}`}`);
		return answer;
	};

	return {
		call,
		/** Submits a job, again as the pages say, and returns the time of its acceptance. */
		async submit(queue, job, steps) {
			board.addJob(job, steps);
			const body = {spec: `job ${job}`, steps: steps.map(step => encodeStep(step))};
			for (let attempt = 0; attempt <= clientRetries; attempt++) {
				const answer = await call('POST', `/${queue}/${job}`, body);
				if (answer?.status === 200) {
					return Date.now();
				}

				if (answer !== undefined && answer.status !== 502 && answer.status !== 504) {
					await sleep(1000);
				}
			}

			throw new CaseError(`job ${job} was not accepted`);
		},
		async readState(queue, job) {
			const answer = await call('GET', `/${queue}/${job}`);
			return answer?.status === 200 ? JSON.parse(answer.text).state : answer?.status;
		},
		async readPending(queue) {
			const answer = await call('GET', `/${queue}/`);
			return answer?.status === 200 ? JSON.parse(answer.text).pending : undefined;
		},
	};
}

/** A step as clients write it; `workMilliseconds`, the true duration of a work item, is known to the workers only. */
function encodeStep({
	count, cpu, memory, gpus, estimateMilliseconds, isLasting, isGang, label,
}) {
	return {
		count,
		cpu,
		mem_mb: memory,
		gpus,
		...(estimateMilliseconds === undefined ? {} : {estimate_ms: estimateMilliseconds}),
		...(isLasting ? {long_running: true} : {}),
		...(isGang ? {gang: true} : {}),
		...(label === undefined ? {} : {requirements: label}),
	};
}

async function send(front, {
	method, path, key, body,
}) {
	const [host, port] = front.split(':');
	const text = body === undefined ? undefined : JSON.stringify(body);
	return new Promise(resolve => {
		const outgoing = request({
			host,
			port,
			method,
			path,
			agent: false,
			timeout: clientTimeoutMilliseconds,
			headers: {
				host: queueHost,
				'api-key': key,
				'deadline-ms': String(clientTimeoutMilliseconds),
				...(text === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}),
			},
		}, async response => {
			const chunks = [];
			try {
				for await (const chunk of response) {
					chunks.push(chunk);
				}

				resolve({status: response.statusCode, text: Buffer.concat(chunks).toString('utf8')});
			} catch {
				resolve(undefined);
			}
		});
		outgoing.on('timeout', () => {
			outgoing.destroy();
		});
		outgoing.on('error', () => {
			resolve(undefined);
		});
		outgoing.end(text);
	});
}

/** Identifier of the n-th job of a case. */
export function jobOf(number) {
	return (0x5C_0E_7A_21_D9_4B_00_00n + BigInt(number)).toString(16).padStart(16, '0');
}
