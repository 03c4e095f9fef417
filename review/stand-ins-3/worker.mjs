/** Stand-in of the platform's worker, by its published protocol: it guards its room, runs work items under leases, and may save checkpoints, crash, fall silent and start again. */
/* eslint camelcase: off -- Messages have the names of the platform's pages. */
import {createServer} from 'node:http';
import {listen, readText, reply} from './store.mjs';

const listedEnds = 500;
const maximumWait = 2000;
const beat = 1500;
const stopMilliseconds = 300;
const savedEvery = 2000;

/**
Serves a worker at a free port of the host.

`plan(task, run)` says what a run does: `{milliseconds, ending, saves, lasts}`; `need(task)` says what room it takes.

@param {string} host
@param {Record<string, any>} options
*/
export async function serveWorker(host, {id, rack, service, zone, label, capacity, holdMaximum, plan, need, note}) {
	let life;
	let agent;
	let beats;
	let isClosed = false;
	let silent = () => false;

	const begin = () => {
		const born = Date.now();
		const startedAt = performance.now();
		life = {
			born,
			clock: () => Math.floor(performance.now() - startedAt) + 1000,
			runs: new Map(),
			ends: [],
			lastEnd: 0,
			fence: 0,
			deadline: 0,
			refused: new Map(),
			waiting: new Set(),
			sequence: 0,
			state: 'ready',
			used: {cpu: 0, mem_mb: 0, gpus: 0},
		};
	};

	const keyOf = (task, run) => `${task} ${run}`;

	const wake = () => {
		for (const look of life.waiting) {
			look();
		}
	};

	const endRun = (current, entry, how) => {
		if (current !== life || !current.runs.delete(keyOf(entry.task, entry.run))) {
			return;
		}

		clearTimeout(entry.timer);
		take(current, entry.task, -1);
		current.refused.set(entry.task, Math.max(current.refused.get(entry.task) ?? 0, entry.run));
		current.lastEnd++;
		current.ends.push([current.lastEnd, entry.task, entry.run, how, savedOf(entry)]);
		note({
			event: 'run ended', worker: id, born: current.born, number: current.lastEnd, task: entry.task, run: entry.run, how,
		});
		wake();
	};

	const savedOf = entry => {
		const steps = entry.saves ? Math.floor((performance.now() - entry.workedAt) / savedEvery) + entry.resumed : 0;
		return steps === 0 ? '' : steps.toString(16).padStart(8, '0') + entry.task.slice(0, 8);
	};

	const percentOf = entry => {
		if (entry.workedAt === Infinity) {
			return 0;
		}

		const share = Math.floor((performance.now() - entry.workedAt) / entry.milliseconds * 100);
		return entry.lasts ? Math.min(100, share) : Math.min(99, share);
	};

	const extend = (current, until) => {
		if (typeof until !== 'number') {
			return;
		}

		current.deadline = Math.max(current.deadline, Math.min(until, current.clock() + holdMaximum));
		clearTimeout(current.lapse);
		current.lapse = setTimeout(() => {
			for (const entry of current.runs.values()) {
				endRun(current, entry, 'lapsed');
			}
		}, Math.max(0, current.deadline - current.clock()));
	};

	/** Adds what a work item takes, or gives it back. */
	const take = (current, task, sign) => {
		for (const [name, amount] of Object.entries(need(task))) {
			current.used[name] += sign * amount;
		}
	};

	const hasRoom = (current, task) => Object.entries(need(task)).every(([name, amount]) => current.used[name] + amount <= capacity[name]);

	const work = (current, entry) => {
		entry.workedAt = performance.now();
		if (!entry.lasts) {
			entry.timer = setTimeout(() => {
				endRun(current, entry, entry.ending);
			}, entry.milliseconds);
		}
	};

	const start = (current, {task, run_id: run, deadline_ms: until, checkpoint = '', spec}) => {
		if (current.runs.has(keyOf(task, run))) {
			return [200, {}];
		}

		if (run <= (current.refused.get(task) ?? 0)) {
			extend(current, until);
			return [409, {reason: 'old'}];
		}

		if (until <= current.clock()) {
			return [409, {reason: 'late'}];
		}

		if (!hasRoom(current, task)) {
			extend(current, until);
			return [409, {reason: 'room'}];
		}

		extend(current, until);
		const entry = {
			task, run, workedAt: Infinity, resumed: checkpoint === '' ? 0 : Number.parseInt(checkpoint.slice(0, 8), 16), saves: false, lasts: false, ending: 'done', ...plan(task, run),
		};
		current.runs.set(keyOf(task, run), entry);
		take(current, task, 1);
		note({
			event: 'run started', worker: id, born: current.born, task, run, spec, checkpoint, running: current.runs.size,
		});
		work(current, entry);
		return [200, {}];
	};

	const stop = (current, {task, run_id: run}) => {
		current.refused.set(task, Math.max(current.refused.get(task) ?? 0, run));
		const entry = current.runs.get(keyOf(task, run));
		if (entry !== undefined && !entry.isStopping) {
			entry.isStopping = true;
			clearTimeout(entry.timer);
			entry.timer = setTimeout(() => {
				endRun(current, entry, 'stopped');
			}, stopMilliseconds);
		}

		return [200, {}];
	};

	const hold = (current, {last_seen: seen = 0, deadline_ms: until, wait_ms: wait = 0}, response) => {
		const first = current.ends[0]?.[0] ?? Infinity;
		if (seen >= first) {
			current.ends = current.ends.filter(([number]) => number > seen);
			note({
				event: 'ends noted', worker: id, born: current.born, until: seen,
			});
		}

		extend(current, until);
		const answer = () => {
			clearTimeout(timer);
			current.waiting.delete(answer);
			reply(response, 200, {
				clock_ms: current.clock(),
				born: current.born,
				running: [...current.runs.values()].map(entry => [entry.task, entry.run, savedOf(entry), percentOf(entry), need(entry.task).cpu]),
				finished: current.ends.slice(0, listedEnds),
			});
		};

		const timer = setTimeout(answer, current.ends.length > 0 ? 0 : Math.min(maximumWait, wait));
		current.waiting.add(answer);
	};

	const serve = (path, body, response) => {
		const current = life;
		const {fencing_token: token = 0} = body;
		if (token < current.fence) {
			reply(response, 409, {clock_ms: current.clock(), reason: 'fence'});
			return;
		}

		current.fence = token;
		if (path === '/v1/hold') {
			hold(current, body, response);
			return;
		}

		const [status, answer] = path === '/v1/run-start' ? start(current, body) : stop(current, body);
		reply(response, status, {clock_ms: current.clock(), ...answer});
	};

	const server = createServer(async (request, response) => {
		const text = await readText(request);
		if (text === '' || life === undefined) {
			response.destroy();
			return;
		}

		const body = JSON.parse(text);
		const kind = (request.url ?? '').split('/').at(-1);
		const verdict = silent(kind, body);
		if (verdict === 'unanswered') {
			return;
		}

		if (request.headers['expect-instance'] !== id) {
			reply(response, 421, {});
			return;
		}

		if (verdict === 'answer lost') {
			serve(request.url ?? '', body, {destroyed: true});
			return;
		}

		serve(request.url ?? '', body, response);
	});
	await listen(server, host);
	const {port} = server.address();

	const describe = () => ({
		service,
		address: `${host}:${port}`,
		zone,
		version: 'v1',
		slots: 8,
		state: life.state,
		cold_remaining_ms: 0,
		capacity,
		labels: [label, rack],
		clock_ms: life.clock(),
		seq_no: ++life.sequence,
		born: life.born,
	});

	const announce = async () => {
		clearTimeout(beats);
		if (life !== undefined && agent !== undefined) {
			try {
				await fetch(`http://${agent}/v1/instances/${id}`, {
					method: 'PUT', headers: {'content-type': 'application/json'}, body: JSON.stringify(describe()), signal: AbortSignal.timeout(1000),
				});
			} catch {
				// The agent may be down; the next announcement follows.
			}
		}

		if (!isClosed) {
			beats = setTimeout(announce, beat);
		}
	};

	const endLife = () => {
		if (life === undefined) {
			return;
		}

		clearTimeout(life.lapse);
		for (const entry of life.runs.values()) {
			clearTimeout(entry.timer);
			note({
				event: 'run lost', worker: id, born: life.born, task: entry.task, run: entry.run,
			});
		}

		life = undefined;
	};

	begin();
	return {
		id,
		host,
		address: `${host}:${port}`,
		capacity,
		announceTo(address) {
			agent = address;
			announce();
		},
		/** Decides what becomes of each call: 'unanswered', 'answer lost', or nothing. */
		disturb(rule) {
			silent = rule;
		},
		running: () => life === undefined ? [] : [...life.runs.values()],
		/** Ends like a killed process and starts again under the same id after some time. */
		async crash(downMilliseconds) {
			endLife();
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
			setTimeout(async () => {
				if (!isClosed) {
					await listen(server, host, port);
					begin();
					await announce();
				}
			}, downMilliseconds);
		},
		close() {
			isClosed = true;
			clearTimeout(beats);
			endLife();
			server.closeAllConnections();
			server.close();
		},
	};
}
