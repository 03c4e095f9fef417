/** Starts the programs of the deploy file as separate processes on loopback, beside stand-ins of the store and the workers. */
/* eslint camelcase: off -- Messages have the names of the platform's pages. */
import {fork, spawn} from 'node:child_process';
import {appendFileSync, openSync, writeFileSync} from 'node:fs';
import {readFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import process from 'node:process';

export const queueHost = 'queue.example';
/** Largest value of the store, as in the settings. */
const valueBytes = 1_048_576;
/** Longest lease of a worker, as in the settings. */
const holdMaximum = 10_000;
const workerCapacity = {cpu: 128_000, mem_mb: 262_144, gpus: 8};

/** Ports that one program uses at its address. */
const portsPerProgram = 6;
const restartMilliseconds = 300;

/** Addresses that no other running process of these scripts uses. */
function hostOf(index) {
	return `127.${1 + (process.pid % 250)}.${Math.floor(process.pid / 250) % 250}.${index + 1}`;
}

/** Finds a run of ports that are free at the address. */
async function findPorts(host) {
	for (let base = 20_000 + ((process.pid % 500) * 20); ; base += 20) {
		const isFree = await Promise.all(Array.from({length: portsPerProgram}, (_, offset) => new Promise(resolve => {
			const probe = createServer();
			probe.once('error', () => {
				resolve(false);
			});
			probe.listen(base + offset, host, () => {
				probe.close(() => {
					resolve(true);
				});
			});
		})));
		if (isFree.every(Boolean)) {
			return base;
		}
	}
}

/** Reads the command and the environment of each role from the deploy file. */
async function readRoles() {
	const roles = {};
	let section;
	const text = await readFile('deploy/system.toml', 'utf8');
	for (const line of text.split('\n')) {
		const header = /^\[roles\.(\w+)(\.env)?]$/.exec(line);
		if (header !== null) {
			roles[header[1]] ??= {env: {}};
			section = header[2] === undefined ? roles[header[1]] : roles[header[1]].env;
			continue;
		}

		const pair = /^(\w+) = "(.*)"$/.exec(line);
		if (section !== undefined && pair !== null) {
			section[pair[1]] = pair[2];
		}
	}

	return roles;
}

function fillIn(template, fields) {
	return template.replaceAll(/{{([^}]+)}}/g, (_, name) => String(fields[name] ?? ''));
}

/** A program that is started again whenever it ends, as the platform does. */
function supervise({run, env}, fields, {log, note}) {
	let child;
	let isStopped = false;
	const [command, ...options] = run.split(' ');
	const start = () => {
		child = spawn(command, options, {
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, ...Object.fromEntries(Object.entries(env).map(([name, template]) => [name, fillIn(template, fields)])),
			},
			stdio: ['ignore', log, log],
		});
		child.once('exit', (code, signal) => {
			if (!isStopped) {
				note({
					event: 'program ended', name: fields.node_name, code, signal,
				});
				setTimeout(() => {
					if (!isStopped) {
						start();
					}
				}, restartMilliseconds);
			}
		});
	};

	start();
	process.once('exit', () => {
		child.kill('SIGKILL');
	});
	return {
		name: fields.node_name,
		signal(signal) {
			child.kill(signal);
		},
		stop() {
			isStopped = true;
			child.kill('SIGKILL');
		},
	};
}

/** Starts a stand-in as a process of its own, so that none delays another or the caller. */
async function startStandIn(name, options, note) {
	const child = fork(new URL(name, import.meta.url), options, {stdio: ['ignore', 'inherit', 'inherit', 'ipc']});
	process.once('exit', () => {
		child.kill('SIGKILL');
	});
	const listeners = new Set();
	child.on('message', message => {
		if (message.kind === 'note') {
			note(message.event);
			return;
		}

		for (const listener of listeners) {
			listener(message);
		}
	});
	const receive = async (isWanted, prepare = () => undefined) => new Promise((resolve, reject) => {
		const listener = message => {
			if (isWanted(message)) {
				listeners.delete(listener);
				resolve(message);
			}
		};

		listeners.add(listener);
		child.once('exit', () => {
			reject(new Error(`${name} ended`));
		});
		prepare();
	});
	child.setMaxListeners(0);
	const {address} = await receive(({kind}) => kind === 'ready');
	return {
		address,
		send(message) {
			child.send(message);
		},
		/** Sends a message and waits for its answer. */
		ask: async (message, isAnswer) => receive(isAnswer, () => {
			child.send(message);
		}),
		stop() {
			child.kill('SIGKILL');
		},
	};
}

async function startStore(note) {
	const standIn = await startStandIn('store-process.mjs', ['127.0.0.1', String(valueBytes)], note);
	return {
		...standIn,
		put(key, value) {
			standIn.send({kind: 'put', key, value});
		},
		async read(key) {
			const {value} = await standIn.ask({kind: 'read', key}, answer => answer.kind === 'value' && answer.key === key);
			return value;
		},
	};
}

async function startWorker(host, settings, note) {
	const standIn = await startStandIn('worker-process.mjs', [host, JSON.stringify(settings)], note);
	return {
		...standIn,
		host,
		id: settings.id,
		async countRuns() {
			const {count} = await standIn.ask({kind: 'count'}, answer => answer.kind === 'running');
			return count;
		},
	};
}

/**
Starts a deployment and waits until an entry schedules on all workers.

`kinds` says by the prefix of a work item's name what its runs do and what room they take; `labelOf` names the kind of each worker.

@param {Record<string, any>} options
*/
export async function startCluster({entries = 3, workers = 3, manifest, note, kinds, labelOf = () => 'a'}) {
	const roles = await readRoles();
	process.setMaxListeners(0);
	const output = openSync(process.env.LOG ?? '/dev/null', 'w');
	const store = await startStore(note);
	store.put('op/config', manifest);
	const base = await findPorts(hostOf(0));
	const seeds = `${hostOf(0)}:${base + 4}`;
	const workerList = await Promise.all(Array.from({length: workers}, async (_, index) => startWorker(hostOf(100 + index), {
		id: `i-${index}`, rack: `r-${Math.floor(index / 3)}`, service: 'svc', zone: `z-${index % 3}`, label: labelOf(index), capacity: workerCapacity, holdMaximum, kinds,
	}, note)));

	const fieldsOf = (host, name) => ({
		node_name: name,
		zone: 'z-0',
		ip: host,
		internal_ports: `${base},${base + 1}`,
		'internal_ports.1': base + 1,
		'listen_addrs.front': `${host}:${base + 2}`,
		'listen_addrs.readiness': `${host}:${base + 3}`,
		'listen_addrs.control': `${host}:${base + 4}`,
		'platform.address': store.address,
		seed_nodes: seeds,
		'bounds.grace_s': 6,
		'bounds.hold_max_ms': holdMaximum,
		'limits.cpu_share': 0.675,
		'limits.cpu_cores': 1,
	});
	const entryList = Array.from({length: entries}, (_, index) => {
		const host = hostOf(index);
		return {front: `${host}:${base + 2}`, metrics: `${host}:${base + 1}`, ...supervise(roles.entry, fieldsOf(host, `entry-${index}`), {log: output, note})};
	});
	const agentList = workerList.map((worker, index) => supervise(roles.agent, {...fieldsOf(worker.host, `agent-${index}`), app: worker.address}, {log: output, note}));
	for (const worker of workerList) {
		worker.send({kind: 'announce', address: `${worker.host}:${base + 4}`});
	}

	const stop = () => {
		for (const program of [...entryList, ...agentList]) {
			program.stop();
		}

		for (const worker of workerList) {
			worker.stop();
		}

		store.stop();
	};

	const isReady = await waitUntil(20_000, async () => {
		const pages = await Promise.all(entryList.map(({metrics}) => readMetrics(metrics)));
		return pages.some(page => page.includes(`dotterelnotch_value{name="usable-workers"} ${workers}\n`));
	});
	if (!isReady) {
		throw new Error('no entry schedules on all workers');
	}

	return {
		store, entries: entryList, agents: agentList, workers: workerList, stop,
	};
}

async function readMetrics(address) {
	try {
		const response = await fetch(`http://${address}/metrics`, {signal: AbortSignal.timeout(1000)});
		return await response.text();
	} catch {
		return '';
	}
}

export async function sleep(milliseconds) {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Asks until the answer is true; false if it is not in time. */
export async function waitUntil(milliseconds, ask) {
	const deadline = performance.now() + milliseconds;
	while (performance.now() < deadline) {
		if (await ask()) {
			return true;
		}

		await sleep(100);
	}

	return false;
}

/** Sends a caller's request to an entry; undefined if no answer came. */
export async function call({front}, method, path, {body, key = 'key-1', timeout = 3000} = {}) {
	const {request} = await import('node:http');
	return new Promise(resolve => {
		const [host, port] = front.split(':');
		const sent = request({
			host, port, method, path, headers: {
				host: queueHost, 'api-key': key, 'deadline-ms': String(timeout), 'content-type': 'application/json',
			},
		}, async response => {
			const chunks = [];
			try {
				for await (const chunk of response) {
					chunks.push(chunk);
				}

				resolve({status: response.statusCode, body: JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}')});
			} catch {
				resolve(undefined);
			}
		});
		sent.setTimeout(timeout, () => {
			sent.destroy();
		});
		sent.once('error', () => {
			resolve(undefined);
		});
		sent.end(body === undefined ? undefined : JSON.stringify(body));
	});
}

export function describeManifest(version, queues, tenants = [{name: 'tenant-1', api_keys: ['key-1'], guaranteed: {gpus: 8}}]) {
	return {
		version,
		routes: queues.map(({name, priority, attempts = 3}) => ({
			name, host: queueHost, prefix: `/${name}/`, service: 'svc', priority, max_attempts: attempts, stretch: 3, target_duration_ms: 3000, public: false,
		})),
		services: [{name: 'svc', enforces_capacity: true}],
		limits: {},
		tenants,
	};
}

/** Time after which a script gives up; it may run for 120 s. */
const maximumMilliseconds = 110_000;

/**
Runs a case: `play` returns what it saw of the rule being broken, or nothing. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

@param {string} folder
@param {(context: {note: (event: Record<string, unknown>) => void, isTroubled: boolean}) => Promise<readonly string[]>} play
*/
export async function runCase(folder, play) {
	const startedAt = performance.now();
	const record = `${folder}/record.txt`;
	writeFileSync(record, '');
	const note = event => {
		appendFileSync(record, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${JSON.stringify(event)}\n`);
	};

	const finish = code => {
		note({event: 'case ended', code});
		// eslint-disable-next-line unicorn/no-process-exit -- The programs that were started end with this process.
		process.exit(code);
	};

	setTimeout(() => {
		console.error('the case took too long');
		finish(2);
	}, maximumMilliseconds);
	process.once('SIGTERM', () => {
		finish(2);
	});
	process.once('SIGINT', () => {
		finish(2);
	});
	try {
		const broken = await play({note, isTroubled: process.env.TROUBLE !== '0'});
		for (const finding of broken) {
			note({event: 'rule broken', finding});
			console.log(finding);
		}

		finish(broken.length > 0 ? 1 : 0);
	} catch (error) {
		console.error(error);
		finish(2);
	}
}
