/* eslint camelcase: ['error', {properties: 'never'}] -- the settings have their own spelling. */
/** A small deployment on loopback addresses: the project's entries and agents as separate processes, with stand-ins of the store, the workers, the operator and the clients. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from './http.mjs';
import {createJobs, createManifest} from './jobs.mjs';
import {startProgram} from './programs.mjs';
import {createStore} from './store.mjs';
import {startWorker} from './worker.mjs';

export {setTimeout as sleep} from 'node:timers/promises';

const queueHost = 'jobs.example';
/** Keys of the tenants; the first one has a guarantee. */
const apiKeys = ['key-of-tenant-1', 'key-of-tenant-2'];
const service = 'class-booking';
const zone = 'arima-bay';
const internalPorts = [7000, 7015];
const [frontPort, readinessPort, controlPort] = [8521, 8523, 8526];
const limitMilliseconds = 118_000;
const readyMilliseconds = 25_000;
const restartMilliseconds = 1000;

/** Bounds of `sites/mbsa-sched.toml`. */
const holdMaximum = 10_000;
const stopMilliseconds = 400;
const graceSeconds = 6;

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Keeps what was sent, answered and run for `record.txt`. */
function createRecord(folder) {
	const startedAt = Date.now();
	const lines = [];
	const note = (kind, fields) => {
		lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${kind} ${JSON.stringify(fields)}`);
	};

	return {
		note,
		write() {
			writeFileSync(new URL('record.txt', folder), `${lines.join('\n')}\n`);
		},
	};
}

async function createDeployment(record, {entries, racks}) {
	const {note} = record;
	const jobs = createJobs();
	const store = createStore();
	store.write('op/config', createManifest({queueHost, apiKeys, service}));
	const network = `127.${20 + (process.pid % 200)}.${Math.floor(Math.random() * 250)}`;
	const hostOfEntry = index => `${network}.${1 + index}`;
	const hostOfAgent = index => `${network}.${101 + index}`;
	const children = [];
	const workers = [];

	let isStopped = false;

	/** Starts a program, and again whenever it exits, as the platform does. */
	const start = async (role, values, name) => startProgram(role, values, child => {
		children.push(child);
		child.once('exit', async (code, signal) => {
			if (isStopped) {
				return;
			}

			note('program exited', {name, code, signal});
			await sleep(restartMilliseconds);
			if (!isStopped) {
				// A program that exits before it is ready is started again all the same.
				start(role, values, name).catch(() => undefined);
			}
		});
	});

	const describeMachine = (host, name, storeAddress) => ({
		node_name: name,
		ip: host,
		zone,
		internal_ports: internalPorts,
		listen_addrs: {front: `${host}:${frontPort}`, readiness: `${host}:${readinessPort}`, control: `${host}:${controlPort}`},
		platform: {address: storeAddress},
		seed_nodes: `${hostOfEntry(0)}:${controlPort}`,
		bounds: {grace_s: graceSeconds, hold_max_ms: holdMaximum},
		limits: {cpu_share: 0.675, cpu_cores: 1},
	});

	const stop = () => {
		isStopped = true;
		for (const child of children) {
			child.kill('SIGKILL');
		}

		for (const worker of workers) {
			worker.close();
		}

		store.close();
	};

	const entryList = [];
	const agentList = [];

	const startPrograms = async () => {
		entryList.push(...await Promise.all(Array.from({length: entries}, async (_, index) => {
			const host = hostOfEntry(index);
			const storeListener = await store.addListener(`${network}.${201 + index}`);
			const child = await start('entry', describeMachine(host, `edge-${index}`, storeListener.address), `edge-${index}`);
			return {
				child, storeListener, front: `${host}:${frontPort}`, metrics: `${host}:${internalPorts[1]}`,
			};
		})));
		agentList.push(...await Promise.all(racks.map(async (rack, index) => {
			const host = hostOfAgent(index);
			const storeListener = await store.addListener(`${network}.${221 + index}`);
			const worker = await startWorker({
				host,
				identifier: `i-${index}`,
				rack,
				zone,
				service,
				capacity: {millicores: 128_000, memoryMegabytes: 262_144, accelerators: 8},
				agentAddress: `${host}:${controlPort}`,
				holdMaximum,
				stopMilliseconds,
				findWork: jobs.findWork,
				note,
			});
			workers.push(worker);
			const child = await start('agent', {...describeMachine(host, `side-${index}`, storeListener.address), app: worker.address}, `side-${index}`);
			worker.announce();
			return {child, worker, storeListener};
		})));
	};

	/** The index of the entry that schedules all workers, or -1. */
	const findScheduler = async () => {
		const pages = await Promise.all(entryList.map(async ({metrics}) => {
			try {
				const response = await fetch(`http://${metrics}/metrics`, {signal: AbortSignal.timeout(1000)});
				return await response.text();
			} catch {
				return '';
			}
		}));
		return pages.findIndex(page => page.includes(`dotterelnotch_value{name="usable-workers"} ${racks.length}\n`));
	};

	const waitUntilUsable = async () => {
		const until = Date.now() + readyMilliseconds;
		while (Date.now() < until) {
			const scheduler = await findScheduler();
			if (scheduler >= 0) {
				note('ready', {scheduler: `edge-${scheduler}`});
				return scheduler;
			}

			await sleep(100);
		}

		throw new Error('the workers were not usable in time');
	};

	/** Sends a client's call to an entry and returns its status, or undefined if there was no answer. */
	const call = async (entry, method, path, {body, tenant = 0, deadline = 3000} = {}) => {
		note('call', {entry: `edge-${entry}`, method, path});
		try {
			const answer = await sendRequest(entryList[entry].front, {
				method, path, headers: {host: queueHost, 'api-key': apiKeys[tenant], 'deadline-ms': String(deadline)}, body, timeout: deadline,
			});
			note('answer', {
				entry: `edge-${entry}`, method, path, ...answer,
			});
			return answer;
		} catch (error) {
			note('no answer', {
				entry: `edge-${entry}`, method, path, reason: String(error),
			});
			return undefined;
		}
	};

	/** Registers a job that a client is about to send; each step has its fields on the wire and the true duration of its work. */
	const describeJob = (path, steps, schedule = {}) => {
		const identifier = path.split('/').at(-1);
		jobs.add(identifier, steps);
		return {spec: `work of ${identifier}`, steps: steps.map(({wire}) => wire), ...schedule};
	};

	return {
		note,
		entries: entryList,
		agents: agentList,
		workers,
		listAccepted: jobs.listAccepted,
		call,
		startPrograms,
		waitUntilUsable,
		/** Submits a job until it is accepted, as a client with retries does. */
		async submit(entry, path, steps, {tenant = 0, schedule} = {}) {
			const body = describeJob(path, steps, schedule);
			for (let attempt = 0; attempt < 5; attempt++) {
				const answer = await call((entry + attempt) % entries, 'POST', path, {body, tenant});
				if (answer?.status === 200) {
					jobs.noteAccepted(path.split('/').at(-1));
					return true;
				}

				await sleep(500);
			}

			return false;
		},
		describeJob,
		records: () => workers.flatMap(worker => worker.records),
		stop,
	};
}

/** Rejects when the case is told to stop, or takes too long. */
async function waitForEnd() {
	return new Promise((_, reject) => {
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				reject(new Error(`received ${signal}`));
			});
		}

		setTimeout(() => {
			reject(new Error(`took more than ${limitMilliseconds} ms`));
		}, limitMilliseconds);
	});
}

/**
Runs a case, ends all processes that it started and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

`racks` has the rack of each worker. `play` receives the deployment, and the index of the entry that schedules, and returns what broke the rule.
*/
export async function runCase(folder, options, play) {
	const record = createRecord(folder);
	const deployment = await createDeployment(record, options);
	const run = async () => {
		await deployment.startPrograms();
		return play(deployment, await deployment.waitUntilUsable());
	};

	try {
		const findings = await Promise.race([run(), waitForEnd()]);
		for (const finding of findings) {
			record.note('broken', finding);
			console.log(`broken: ${JSON.stringify(finding)}`);
		}

		record.note('result', {isBroken: findings.length > 0});
		return findings.length > 0 ? 1 : 0;
	} catch (error) {
		console.log(`could not run: ${error.stack}`);
		record.note('could not run', {reason: String(error)});
		return 2;
	} finally {
		deployment.stop();
		record.write();
	}
}
