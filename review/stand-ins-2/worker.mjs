/* eslint camelcase: ['error', {properties: 'never'}] -- the platform's fields have their own spelling. */
/** Stand-in of a platform's worker, by its published protocol: it guards its capacity, keeps its runs under a lease, and announces itself to the agent on its machine. */
import {setTimeout as sleep} from 'node:timers/promises';
import {listen, readJson, reply} from './http.mjs';

const beatMilliseconds = 1500;
const maximumWaitMilliseconds = 2000;
const maximumListedEnds = 500;
const startupMilliseconds = 500;
/** Time in which the last announcement has arrived. */
const lastBeatMilliseconds = 200;

/**
Starts a worker.

`findWork(task)` returns the needs of a task and how long its work takes on a rack, or undefined if no client sent it. `note` receives what happens.
*/
export async function startWorker({host, identifier, rack, zone, service, capacity, agentAddress, holdMaximum, stopMilliseconds, findWork, note}) {
	const born = Date.now();
	const startedAt = performance.now();
	const clock = () => Math.floor(performance.now() - startedAt) + 1000;
	const runs = new Map();
	const highestEnded = new Map();
	const waiting = new Map();
	const records = [];
	let ends = [];
	let endCount = 0;
	let fence = 0;
	let deadline = 0;
	let leaseTimer;
	let beatTimer;
	let sequence = 0;
	let isUp = true;
	let drainsUntil;
	let isLeaving = false;

	const keyOf = ({task, run}) => `${task} ${run}`;
	const sumOf = amount => [...runs.values()].reduce((total, run) => total + run.needs[amount], 0);
	const hasRoom = needs => Object.keys(capacity).every(amount => sumOf(amount) + needs[amount] <= capacity[amount]);

	const endRun = (run, how) => {
		clearTimeout(run.timer);
		runs.delete(keyOf(run.record));
		run.record.endedAt = Date.now();
		run.record.how = how;
		highestEnded.set(run.record.task, Math.max(highestEnded.get(run.record.task) ?? 0, run.record.run));
		ends.push({number: ++endCount, record: run.record});
		note('end', {
			worker: identifier, task: run.record.task, run: run.record.run, how, ranMilliseconds: run.record.endedAt - run.record.startedAt,
		});
		for (const wake of waiting.keys()) {
			wake();
		}
	};

	const extendLease = until => {
		deadline = Math.max(deadline, Math.min(until, clock() + holdMaximum));
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(() => {
			for (const {record} of ends) {
				record.hasLapsed = true;
			}

			for (const run of runs.values()) {
				endRun(run, 'lapsed');
			}
		}, Math.max(0, deadline - clock()));
	};

	const raiseFence = ({fencing_token: token = 0}) => {
		fence = Math.max(fence, token);
		return token >= fence;
	};

	/** Work that lasts is at work, with a percentage of 100, after a short startup. */
	const percentOf = ({record, work}) => {
		const elapsed = Date.now() - record.startedAt;
		return work.isLasting ? Math.min(100, Math.floor(elapsed / startupMilliseconds * 100)) : Math.min(99, Math.floor(elapsed / work.milliseconds * 100));
	};

	const start = ({task, run_id: run, spec, deadline_ms: until}) => {
		if (runs.has(keyOf({task, run}))) {
			return [200, {}];
		}

		if (run <= (highestEnded.get(task) ?? 0)) {
			extendLease(until);
			return [409, {reason: 'old'}];
		}

		if (until <= clock()) {
			return [409, {reason: 'late'}];
		}

		const work = findWork(task, rack);
		const needs = work?.needs ?? {millicores: 0, memoryMegabytes: 0, accelerators: 0};
		if (!hasRoom(needs)) {
			extendLease(until);
			return [409, {reason: 'room'}];
		}

		extendLease(until);
		const record = {
			worker: identifier, rack, task, run, spec, startedAt: Date.now(), endedAt: undefined, how: undefined, notedAt: undefined, hasLapsed: false,
		};
		const started = {record, needs, work: work ?? {isLasting: false, milliseconds: 1000}};
		if (!started.work.isLasting) {
			started.timer = setTimeout(() => {
				endRun(started, 'done');
			}, started.work.milliseconds);
		}

		runs.set(keyOf(record), started);
		records.push(record);
		note('start', {
			worker: identifier, rack, task, run, epoch: fence, isKnown: work !== undefined,
		});
		return [200, {}];
	};

	const stop = ({task, run_id: run}) => {
		highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, run));
		const present = runs.get(keyOf({task, run}));
		if (present !== undefined && !present.isStopping) {
			present.isStopping = true;
			clearTimeout(present.timer);
			present.timer = setTimeout(() => {
				endRun(present, 'stopped');
			}, stopMilliseconds);
		}

		return [200, {}];
	};

	const listRuns = () => ({
		born,
		clock_ms: clock(),
		running: [...runs.values()].map(run => [run.record.task, run.record.run, '', percentOf(run), run.needs.millicores]),
		finished: ends.slice(0, maximumListedEnds).map(({number, record}) => [number, record.task, record.run, record.how, '']),
	});

	const hold = ({last_seen: lastSeen = 0, deadline_ms: until, wait_ms: wait = 0}, response) => {
		for (const {number, record} of ends) {
			if (number <= lastSeen && !record.hasLapsed) {
				record.notedAt ??= Date.now();
			}
		}

		ends = ends.filter(({number}) => number > lastSeen);
		if (until !== undefined) {
			extendLease(until);
		}

		if (ends.length > 0 || wait === 0) {
			reply(response, 200, listRuns());
			return;
		}

		const wake = () => {
			clearTimeout(waiting.get(wake));
			waiting.delete(wake);
			if (isUp) {
				reply(response, 200, listRuns());
			}
		};

		waiting.set(wake, setTimeout(wake, Math.min(maximumWaitMilliseconds, wait)));
	};

	const server = await listen(host, 0, async (request, response) => {
		const body = await readJson(request);
		if (!isUp) {
			return;
		}

		if (request.headers['expect-instance'] !== undefined && request.headers['expect-instance'] !== identifier) {
			reply(response, 421, {clock_ms: clock()});
			return;
		}

		if (!raiseFence(body)) {
			reply(response, 409, {clock_ms: clock(), reason: 'fence'});
			return;
		}

		switch (request.url) {
			case '/v1/run-start': {
				const [status, answer] = start(body);
				reply(response, status, {clock_ms: clock(), ...answer});
				break;
			}

			case '/v1/run-stop': {
				const [status, answer] = stop(body);
				reply(response, status, {clock_ms: clock(), ...answer});
				break;
			}

			case '/v1/hold': {
				hold(body, response);
				break;
			}

			default: {
				reply(response, 404, {clock_ms: clock()});
			}
		}
	});
	const address = `${host}:${server.address().port}`;

	const announce = async () => {
		try {
			await fetch(`http://${agentAddress}/v1/instances/${identifier}`, {
				method: 'PUT',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					service,
					address,
					zone,
					version: 'v1',
					slots: 8,
					state: drainsUntil === undefined ? 'ready' : 'draining',
					cold_remaining_ms: 0,
					capacity: {cpu: capacity.millicores, mem_mb: capacity.memoryMegabytes, gpus: capacity.accelerators},
					labels: ['a', rack],
					clock_ms: clock(),
					seq_no: ++sequence,
					born,
					...(drainsUntil === undefined ? {} : {drain_remaining_ms: Math.max(0, drainsUntil - Date.now())}),
				}),
				signal: AbortSignal.timeout(1000),
			});
		} catch {
			// The agent may not answer yet; the next announcement follows.
		}

		if (isUp && !isLeaving) {
			beatTimer = setTimeout(announce, beatMilliseconds);
		}
	};

	const end = () => {
		isUp = false;
		clearTimeout(beatTimer);
		clearTimeout(leaseTimer);
		for (const run of runs.values()) {
			clearTimeout(run.timer);
		}
	};

	const endAll = how => {
		end();
		for (const {record} of runs.values()) {
			record.endedAt = Date.now();
			record.how = how;
			note('end', {
				worker: identifier, task: record.task, run: record.run, how,
			});
		}

		runs.clear();
	};

	return {
		identifier,
		address,
		records,
		capacity,
		/** Begins to announce itself. */
		announce,
		/** Whether it is up. */
		isUp: () => isUp,
		/** Accelerators in use. */
		usedAccelerators: () => isUp ? sumOf('accelerators') : 0,
		freeCapacity: () => Object.fromEntries(Object.keys(capacity).map(amount => [amount, capacity[amount] - sumOf(amount)])),
		/** A run fails by its own fault. */
		fail(task) {
			for (const run of runs.values()) {
				if (run.record.task === task) {
					endRun(run, 'failed');
				}
			}
		},
		/** Leaves as planned: reports that it drains, serves for that long after the confirmation, reports its departure and ends with everything that runs there. */
		async leave(drainMilliseconds) {
			drainsUntil = Date.now() + drainMilliseconds;
			clearTimeout(beatTimer);
			await announce();
			await sleep(drainMilliseconds);
			isLeaving = true;
			clearTimeout(beatTimer);
			await sleep(lastBeatMilliseconds);
			await fetch(`http://${agentAddress}/v1/instances/${identifier}`, {method: 'DELETE', signal: AbortSignal.timeout(1000)}).catch(() => undefined);
			endAll('left with its worker');
			server.closeAllConnections();
			server.close();
		},
		/** Loses power: everything that runs there ends, and no call gets an answer. */
		losePower() {
			endAll('lost with its worker');
		},
		close() {
			end();
			server.closeAllConnections();
			server.close();
		},
	};
}
