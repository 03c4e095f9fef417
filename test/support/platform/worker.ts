/** Stand-in of a platform's worker, by its published protocol: it runs tasks under leases and announces itself. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {listen} from './store.js';

type Run = {task: string; run: number; startedAt: number; checkpoint: string; timer: NodeJS.Timeout};
type End = readonly [number, string, number, string, string];

/** One start, for comparison with what callers were told. */
export type StartRecord = Readonly<{task: string; run: number; startedAt: number; endedAt: number | undefined; ending: string | undefined}>;

export type PlatformWorker = Readonly<{
	id: string;
	address: string;
	records(): readonly StartRecord[];
	/** Tells the agent; again and again until the worker is closed. */
	announceTo(address: string): void;
	setDraining(): void;
	/** Carries out starts this much later and answers none of them. */
	delayStarts(delay: number): void;
	/** Changes what the worker says of its accelerators; it does not guard them. */
	setAccelerators(accelerators: number): void;
	/** Unix time at which its incarnation started. */
	startedAt(): number;
	/** How often the worker crashed. */
	crashes(): number;
	close(): Promise<void>;
}>;

export type PlatformWorkerOptions = Readonly<{host: string; id: string; rack: string; service: string; workMilliseconds: number; failsAll?: boolean; crashesOn?: (task: string) => boolean}>;

export async function servePlatformWorker({host, id, rack, service, workMilliseconds, failsAll = false, crashesOn = () => false}: PlatformWorkerOptions): Promise<PlatformWorker> {
	let born = Date.now();
	let accelerators = 8;
	let crashCount = 0;
	let isDown = false;
	let restartTimer: NodeJS.Timeout | undefined;
	const runs = new Map<string, Run>();
	const highest = new Map<string, number>();
	const records: Array<{task: string; run: number; startedAt: number; endedAt: number | undefined; ending: string | undefined}> = [];
	let ends: End[] = [];
	let endCount = 0;
	let fence = 0;
	let deadline = 0;
	let sequence = 0;
	let state = 'ready';
	let startDelay = 0;
	let leaseTimer: NodeJS.Timeout | undefined;
	let beat: NodeJS.Timeout | undefined;
	const waiting = new Set<() => void>();
	const clock = () => Date.now() - born + clockOffset;

	const end = (run: Run, ending: string) => {
		clearTimeout(run.timer);
		runs.delete(run.task);
		highest.set(run.task, Math.max(highest.get(run.task) ?? 0, run.run));
		ends = [...ends, [++endCount, run.task, run.run, ending, run.checkpoint]];
		const record = records.findLast(({task, run: number}) => task === run.task && number === run.run);
		if (record !== undefined) {
			record.endedAt = Date.now();
			record.ending = ending;
		}

		for (const wake of waiting) {
			wake();
		}
	};

	const extend = (until: number | undefined) => {
		deadline = Math.max(deadline, until ?? 0);
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(() => {
			for (const run of runs.values()) {
				end(run, 'lapsed');
			}
		}, Math.max(0, deadline - clock()));
	};

	const start = (body: Readonly<Record<string, unknown>>): [number, unknown] => {
		const task = String(body['task']);
		const run = Number(body['run_id']);
		if (Number(body['fencing_token']) < fence) {
			return [409, {reason: 'fence', clock_ms: clock()}];
		}

		fence = Number(body['fencing_token']);
		if (runs.get(task)?.run === run) {
			return [200, {clock_ms: clock()}];
		}

		if (run <= (highest.get(task) ?? 0)) {
			return [409, {reason: 'old', clock_ms: clock()}];
		}

		if (Number(body['deadline_ms']) <= clock()) {
			return [409, {reason: 'late', clock_ms: clock()}];
		}

		extend(Number(body['deadline_ms']));
		const started: Run = {
			task, run, startedAt: Date.now(), checkpoint: '', timer: setTimeout(() => {
				end(started, failsAll ? 'failed' : 'done');
			}, workMilliseconds),
		};
		runs.set(task, started);
		records.push({
			task, run, startedAt: Date.now(), endedAt: undefined, ending: undefined,
		});
		if (crashesOn(task)) {
			setTimeout(crash, crashDelayMilliseconds);
		}

		return [200, {clock_ms: clock()}];
	};

	/** Ends like a killed process and starts again under the same identifier, with nothing of before. */
	const crash = () => {
		if (isDown) {
			return;
		}

		isDown = true;
		crashCount++;
		clearTimeout(leaseTimer);
		for (const run of runs.values()) {
			end(run, 'crashed');
		}

		highest.clear();
		ends = [];
		endCount = 0;
		fence = 0;
		deadline = 0;
		sequence = 0;
		server.close();
		server.closeAllConnections();
		restartTimer = setTimeout(() => {
			born = Date.now();
			isDown = false;
			void listen(server, host, port);
		}, restartMilliseconds);
	};

	const stop = (body: Readonly<Record<string, unknown>>): [number, unknown] => {
		const task = String(body['task']);
		const run = Number(body['run_id']);
		if (Number(body['fencing_token']) < fence) {
			return [409, {reason: 'fence', clock_ms: clock()}];
		}

		highest.set(task, Math.max(highest.get(task) ?? 0, run));
		const present = runs.get(task);
		if (present !== undefined && present.run <= run) {
			end(present, 'stopped');
		}

		return [200, {clock_ms: clock()}];
	};

	const hold = (body: Readonly<Record<string, unknown>>, response: ServerResponse) => {
		const token = Number(body['fencing_token']);
		if (token < fence) {
			reply(response, 409, {reason: 'fence', clock_ms: clock()});
			return;
		}

		fence = token;
		ends = ends.filter(([number]) => number > Number(body['last_seen']));
		if (body['deadline_ms'] !== undefined) {
			extend(Number(body['deadline_ms']));
		}

		const answer = () => {
			waiting.delete(answer);
			clearTimeout(timer);
			reply(response, 200, {
				clock_ms: clock(),
				born,
				running: [...runs.values()].map(run => [run.task, run.run, run.checkpoint, Math.min(99, Math.floor((Date.now() - run.startedAt) / workMilliseconds * 100)), 0]),
				finished: ends,
			});
		};

		const timer = setTimeout(answer, ends.length > 0 ? 0 : Number(body['wait_ms'] ?? 0));
		waiting.add(answer);
	};

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		const chunks: Buffer[] = [];
		for await (const chunk of request) {
			chunks.push(chunk as Buffer);
		}

		const body = JSON.parse(Buffer.concat(chunks).toString('utf8')) as Readonly<Record<string, unknown>>;
		if (request.headers['expect-instance'] !== undefined && request.headers['expect-instance'] !== id) {
			reply(response, 421, {});
			return;
		}

		switch (request.url ?? '') {
			case '/v1/run-start': {
				if (startDelay > 0) {
					setTimeout(() => {
						start(body);
					}, startDelay);
				} else {
					reply(response, ...start(body));
				}

				break;
			}

			case '/v1/run-stop': {
				reply(response, ...stop(body));
				break;
			}

			case '/v1/hold': {
				hold(body, response);
				break;
			}

			default: {
				reply(response, 404, {});
			}
		}
	};

	const server = createServer((request, response) => {
		void serve(request, response);
	});
	await listen(server, host);
	const {port} = server.address() as AddressInfo;
	const announce = async (address: string) => {
		try {
			await (isDown
				? undefined
				: fetch(`http://${address}/v1/instances/${id}`, {
					method: 'PUT',
					headers: {'content-type': 'application/json'},
					body: JSON.stringify({
						service,
						address: `${host}:${port}`,
						zone: 'z',
						version: 'v1',
						slots: 8,
						state,
						cold_remaining_ms: 0,
						capacity: {cpu: 128_000, mem_mb: 262_144, gpus: accelerators},
						labels: ['a', rack],
						clock_ms: clock(),
						seq_no: ++sequence,
						born,
						...(state === 'draining' ? {drain_remaining_ms: 3000} : {}),
					}),
				}));
		} catch {
			// The agent may not run yet; the next announcement finds it.
		}

		beat = setTimeout(() => {
			void announce(address);
		}, beatMilliseconds);
	};

	return {
		id,
		address: `${host}:${port}`,
		records: () => records,
		announceTo(address) {
			void announce(address);
		},
		setDraining() {
			state = 'draining';
		},
		delayStarts(delay) {
			startDelay = delay;
		},
		setAccelerators(next) {
			accelerators = next;
		},
		startedAt: () => born,
		crashes: () => crashCount,
		async close() {
			clearTimeout(beat);
			clearTimeout(restartTimer);
			clearTimeout(leaseTimer);
			for (const run of runs.values()) {
				clearTimeout(run.timer);
			}

			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

/** A steady clock need not begin at 0. */
const clockOffset = 50_000;
const beatMilliseconds = 300;
const crashDelayMilliseconds = 10;
const restartMilliseconds = 800;

function reply(response: ServerResponse, status: number, body: unknown): void {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}
}
