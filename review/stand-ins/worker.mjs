/* eslint-disable camelcase -- names of the platform's protocol */
/** Stand-in of a platform's worker, by its published protocol: it runs work items under leases, guards its capacity and announces itself. */
import {createServer} from 'node:http';

const heartbeatMilliseconds = 1500;
const maximumWaitMilliseconds = 2000;
const maximumListedEnds = 500;
/** A work item that lasts is at work after this time. */
const startupMilliseconds = 500;
/** A steady clock need not begin at 0. */
const clockOffset = 50_000;

/** What the workers know of the jobs that clients submitted, and the gangs that run on several of them. */
export function createBoard({stopMilliseconds, maximumHoldMilliseconds, gangTimeoutMilliseconds}) {
	const steps = new Map();
	const gangs = new Map();
	return {
		stopMilliseconds,
		maximumHoldMilliseconds,
		gangTimeoutMilliseconds,
		/** `steps` are those that a client submitted. */
		addJob(job, jobSteps) {
			steps.set(job, jobSteps);
		},
		findStep(task) {
			const [job, , step] = task.split('.');
			return steps.get(job)?.[Number(step)];
		},
		gangOf(task, run) {
			const [job, occurrence, step] = task.split('.');
			const key = `${job}.${occurrence}.${step} ${run}`;
			const gang = gangs.get(key) ?? {members: new Set(), beganAt: undefined, timer: undefined};
			gangs.set(key, gang);
			return gang;
		},
	};
}

export async function startWorker({
	host, id, rack, service, capacity, board, record,
}) {
	let agent;
	let beat;
	let restartTimer;
	let incarnation;
	let sequence = 0;
	let isClosed = false;
	let chooseFault = () => undefined;
	const lateTimers = new Set();
	const runs = [];

	const begin = () => {
		sequence = 0;
		incarnation = startIncarnation({
			id, capacity, board, record, runs,
		});
		record(`worker ${id} is up, born ${incarnation.born}`);
	};

	const carryOut = (path, order, respond) => {
		switch (path) {
			case '/v1/run-start': {
				respond(incarnation.start(order));
				break;
			}

			case '/v1/run-stop': {
				respond(incarnation.stop(order));
				break;
			}

			case '/v1/hold': {
				incarnation.hold(order, respond);
				break;
			}

			default: {
				respond({status: 404, body: {}});
			}
		}
	};

	const serve = async (request, response) => {
		const order = await readJson(request);
		const expected = request.headers['expect-instance'];
		if (expected !== undefined && expected !== id) {
			reply(response, {status: 421, body: {clock_ms: incarnation.clock()}});
			return;
		}

		const fault = chooseFault(request.url, order);
		switch (fault?.kind) {
			case 'unhealthy': {
				record(`worker ${id} answers 503 to ${request.url} of ${order.task} run ${order.run_id}`);
				reply(response, {status: 503, body: {clock_ms: incarnation.clock()}});
				break;
			}

			// The order gets no answer and is carried out later.
			case 'late': {
				record(`worker ${id} leaves ${request.url} of ${order.task} run ${order.run_id} unanswered and carries it out ${fault.milliseconds} ms later`);
				const timer = setTimeout(() => {
					lateTimers.delete(timer);
					carryOut(request.url, order, answer => {
						record(`worker ${id} carried out late ${request.url} of ${order.task} run ${order.run_id}: ${answer.status} ${answer.body.reason ?? ''}`);
						return false;
					});
				}, fault.milliseconds);
				lateTimers.add(timer);
				break;
			}

			default: {
				carryOut(request.url, order, answer => reply(response, answer));
			}
		}
	};

	const server = createServer((request, response) => {
		serve(request, response).catch(() => {
			response.destroy();
		});
	});
	const listen = async port => new Promise(resolve => {
		server.listen(port, host, resolve);
	});
	begin();
	await listen(0);
	const {port} = server.address();
	const address = `${host}:${port}`;

	const announce = async () => {
		clearTimeout(beat);
		if (agent !== undefined && incarnation !== undefined) {
			const body = {
				service,
				address,
				zone: 'z-1',
				version: 'v1',
				slots: 8,
				state: 'ready',
				cold_remaining_ms: 0,
				capacity: {cpu: capacity.cpu, mem_mb: capacity.memory, gpus: capacity.gpus},
				labels: ['a', rack],
				clock_ms: incarnation.clock(),
				seq_no: ++sequence,
				born: incarnation.born,
			};
			try {
				await fetch(`http://${agent}/v1/instances/${id}`, {
					method: 'PUT', headers: {'content-type': 'application/json'}, body: JSON.stringify(body), signal: AbortSignal.timeout(1000),
				});
			} catch {
				// The agent does not listen; the next announcement follows.
			}
		}

		if (!isClosed) {
			clearTimeout(beat);
			beat = setTimeout(announce, heartbeatMilliseconds);
		}
	};

	return {
		id,
		rack,
		address,
		runs,
		announceTo(next) {
			agent = next;
			announce();
		},
		/** `choose(path, order)` returns what is wrong with an order: nothing, `{kind: 'unhealthy'}` or `{kind: 'late', milliseconds}`. */
		setFault(choose) {
			chooseFault = choose;
		},
		isUp: () => incarnation !== undefined,
		/** Ends like a killed process. Starts again under the same identifier after a time, or never. */
		crash(downMilliseconds) {
			record(`worker ${id} crashes${downMilliseconds === undefined ? ' and is lost for good' : ` for ${downMilliseconds} ms`}`);
			incarnation.end('crashed');
			incarnation = undefined;
			server.close();
			server.closeAllConnections();
			if (downMilliseconds !== undefined) {
				restartTimer = setTimeout(async () => {
					begin();
					await listen(port);
					announce();
				}, downMilliseconds);
			}
		},
		close() {
			isClosed = true;
			clearTimeout(beat);
			clearTimeout(restartTimer);
			for (const timer of lateTimers) {
				clearTimeout(timer);
			}

			incarnation?.end('closed');
			incarnation = undefined;
			server.close();
			server.closeAllConnections();
		},
	};
}

function startIncarnation({
	id, capacity, board, record, runs,
}) {
	const born = Date.now();
	const startedAt = performance.now();
	const clock = () => Math.floor(performance.now() - startedAt) + clockOffset;
	const active = new Map();
	const highestEnded = new Map();
	const waiting = new Set();
	let ends = [];
	let endCount = 0;
	let fence = 0;
	let deadline = 0;
	let leaseTimer;
	const answer = (status, body = {}) => ({status, body: {clock_ms: clock(), ...body}});

	const close = (run, ending) => {
		clearTimeout(run.timer);
		active.delete(run.task);
		run.endedAt = Date.now();
		run.ending = ending;
		record(`worker ${id} ${run.task} run ${run.run} ended: ${ending}`);
		if (run.step.isGang) {
			leaveGang(run, ending);
		}
	};

	const leaveGang = (run, ending) => {
		const gang = board.gangOf(run.task, run.run);
		gang.members.delete(run);
		if (ending !== 'done') {
			clearTimeout(gang.timer);
			for (const member of gang.members) {
				member.endRun(member, 'broken');
			}
		}
	};

	const endRun = (run, ending) => {
		if (active.get(run.task) !== run) {
			return;
		}

		close(run, ending);
		highestEnded.set(run.task, Math.max(highestEnded.get(run.task) ?? 0, run.run));
		ends.push({number: ++endCount, run});
		for (const wake of waiting) {
			wake();
		}
	};

	const lapse = () => {
		for (const run of active.values()) {
			endRun(run, 'lapsed');
		}
	};

	const extendLease = until => {
		deadline = Math.max(deadline, Math.min(Number(until ?? 0), clock() + board.maximumHoldMilliseconds));
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(lapse, Math.max(0, deadline - clock()));
	};

	const isCurrent = ({fencing_token: token = 0}) => {
		const isHighest = token >= fence;
		fence = Math.max(fence, token);
		return isHighest;
	};

	const hasRoom = step => {
		const used = amount => [...active.values()].reduce((total, {step: other}) => total + (other[amount] ?? 0), 0);
		return ['cpu', 'memory', 'gpus'].every(amount => used(amount) + (step[amount] ?? 0) <= capacity[amount]);
	};

	const work = run => {
		const {step} = run;
		run.beganAt = Date.now();
		if (!step.isLasting) {
			run.timer = setTimeout(endRun, step.workMilliseconds, run, 'done');
		}
	};

	const joinGang = run => {
		const gang = board.gangOf(run.task, run.run);
		gang.members.add(run);
		run.endRun = endRun;
		if (gang.members.size < run.step.count) {
			run.timer = setTimeout(endRun, board.gangTimeoutMilliseconds, run, 'alone');
			return;
		}

		for (const member of gang.members) {
			clearTimeout(member.timer);
			member.beganAt = Date.now();
		}

		gang.timer = setTimeout(() => {
			for (const member of gang.members) {
				member.endRun(member, 'done');
			}
		}, run.step.workMilliseconds);
	};

	const percentOf = ({beganAt, step}) => {
		if (beganAt === undefined) {
			return 0;
		}

		const elapsed = Date.now() - beganAt;
		return step.isLasting ? Math.min(100, Math.floor(elapsed * 100 / startupMilliseconds)) : Math.min(99, Math.floor(elapsed * 100 / step.workMilliseconds));
	};

	const list = respond => {
		respond(answer(200, {
			born,
			running: [...active.values()].map(run => [run.task, run.run, '', percentOf(run), 0]),
			finished: ends.slice(0, maximumListedEnds).map(({number, run}) => [number, run.task, run.run, run.ending, '']),
		}));
	};

	return {
		born,
		clock,
		start(order) {
			const {task, run_id: number} = order;
			const step = board.findStep(task);
			if (!isCurrent(order)) {
				return answer(409, {reason: 'fence'});
			}

			if (active.get(task)?.run === number) {
				return answer(200);
			}

			if (step === undefined) {
				record(`worker ${id} refuses ${task}, which nobody submitted`);
				return answer(400);
			}

			if (number <= (highestEnded.get(task) ?? 0) || active.has(task)) {
				extendLease(order.deadline_ms);
				return answer(409, {reason: 'old'});
			}

			if (order.deadline_ms <= clock()) {
				return answer(409, {reason: 'late'});
			}

			extendLease(order.deadline_ms);
			if (!hasRoom(step)) {
				return answer(409, {reason: 'room'});
			}

			const run = {
				worker: id, task, run: number, step, startedAt: Date.now(), endedAt: undefined, ending: undefined, beganAt: undefined, timer: undefined,
			};
			active.set(task, run);
			runs.push(run);
			record(`worker ${id} ${task} run ${number} started`);
			if (step.isGang) {
				joinGang(run);
			} else {
				work(run);
			}

			return answer(200);
		},
		stop(order) {
			const {task, run_id: number} = order;
			if (!isCurrent(order)) {
				return answer(409, {reason: 'fence'});
			}

			highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, number));
			const run = active.get(task);
			if (run?.run === number && !run.isStopping) {
				run.isStopping = true;
				clearTimeout(run.timer);
				run.timer = setTimeout(endRun, board.stopMilliseconds, run, 'stopped');
			}

			return answer(200);
		},
		hold(order, respond) {
			if (!isCurrent(order)) {
				respond(answer(409, {reason: 'fence'}));
				return;
			}

			ends = ends.filter(({number}) => number > (order.last_seen ?? 0));
			if (order.deadline_ms !== undefined) {
				extendLease(order.deadline_ms);
			}

			const wait = ends.length > 0 ? 0 : Math.min(maximumWaitMilliseconds, order.wait_ms ?? 0);
			if (wait === 0) {
				list(respond);
				return;
			}

			const wake = () => {
				clearTimeout(timer);
				waiting.delete(wake);
				list(respond);
			};

			const timer = setTimeout(wake, wait);
			waiting.add(wake);
		},
		end(ending) {
			clearTimeout(leaseTimer);
			waiting.clear();
			for (const run of active.values()) {
				close(run, ending);
			}
		},
	};
}

async function readJson(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

function reply(response, {status, body}) {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}
}
