/** A worker in virtual time, by the published protocol: its runs, their leases, and incarnations that know nothing of each other. */
import type {WorkerId} from '#core';
import type {
	EndedRun, ReportedRun, RunEnding, ServiceName, TaskName,
} from '#jobs';
import {sleep, type Cancel, type Clock} from '#kernel';
import type {Announcement, LeaseExtension, LeaseExtensionResult} from '#supervision';
import {workerCallTimeoutMilliseconds, extensionMarginMilliseconds} from '#supervisor';
import type {
	StartCall, StartReply, StopCall, StopReply, WorkerPort,
} from '../../../packages/supervisor/ports.js';
import type {SimulatedProcess} from './process.js';

export type RunEvent = Readonly<{
	kind: 'started' | 'ended' | 'end-noted' | 'end-lapsed'; worker: string; task: TaskName; run: number; ending?: RunEnding | 'crashed';
}>;

export type SimulatedWorker = Readonly<{
	name: string;
	/** Calls of one agent's process; answers reach it only while it runs. */
	connect(agent: SimulatedProcess): WorkerPort;
	announce(): Announcement;
	/** Ends everything; the next incarnation has the same identifier. */
	restart(): void;
	/** The next starts get no answer, and whichever incarnation is up carries them out after the delay. */
	delayStarts(count: number, delay: number): void;
}>;

export type WorkerOptions = Readonly<{
	name: string;
	clock: Clock;
	/** Rate of the worker's own clock. */
	clockRate: number;
	workMillisecondsOf(task: TaskName): number;
	observe(event: RunEvent): void;
}>;

type Run = {readonly task: TaskName; readonly run: number; readonly startedAt: number; isStopping: boolean; cancel: Cancel};

/** Longest lease that the worker grants. */
export const maximumHoldMilliseconds = 10_000;
const stopMilliseconds = 400;
const latencyMilliseconds = 2;
const accelerators = 8;

type Incarnation = Readonly<{
	born: number;
	readClock(): number;
	start(call: StartCall): StartReply;
	stop(call: StopCall): StopReply;
	extendLeases(extension: LeaseExtension): Promise<LeaseExtensionResult>;
	end(): void;
}>;

function startIncarnation({name, clock, clockRate, workMillisecondsOf, observe}: WorkerOptions): Incarnation {
	const born = clock.now();
	const runs = new Map<string, Run>();
	const highestEndedRun = new Map<TaskName, number>();
	const waiting = new Set<() => void>();
	let ends: ReadonlyArray<EndedRun & Readonly<{hasLapsed: boolean}>> = [];
	let endCount = 0;
	let fence = 0;
	let deadline = 0;
	let cancelLease: Cancel = () => undefined;
	const readClock = () => Math.floor(50_000 + ((clock.now() - born) * clockRate));
	const keyOf = ({task, run}: Readonly<{task: TaskName; run: number}>) => `${task} ${run}`;
	const raiseEndedRun = (task: TaskName, run: number) => {
		highestEndedRun.set(task, Math.max(run, highestEndedRun.get(task) ?? 0));
	};

	const endRun = (ended: Run, ending: RunEnding) => {
		const {task, run} = ended;
		ended.cancel();
		runs.delete(keyOf(ended));
		raiseEndedRun(task, run);
		ends = [...ends, {
			number: ++endCount, task, run, ending, checkpoint: '', hasLapsed: false,
		}];
		observe({
			kind: 'ended', worker: name, task, run, ending,
		});
		for (const wake of waiting) {
			wake();
		}
	};

	const lapseEnds = () => {
		for (const {task, run, ending} of ends.filter(({hasLapsed}) => !hasLapsed)) {
			observe({
				kind: 'end-lapsed', worker: name, task, run, ending,
			});
		}

		ends = ends.map(end => ({...end, hasLapsed: true}));
	};

	const checkLease = () => {
		cancelLease();
		if (readClock() < deadline) {
			cancelLease = clock.schedule(Math.max(1, (deadline - readClock()) / clockRate), checkLease);
			return;
		}

		lapseEnds();
		for (const run of runs.values()) {
			endRun(run, 'lapsed');
		}
	};

	const extendLease = (until: number) => {
		deadline = Math.max(deadline, Math.min(until, readClock() + maximumHoldMilliseconds));
		checkLease();
	};

	const raiseFence = (epoch: number) => {
		const isCurrent = epoch >= fence;
		fence = Math.max(fence, epoch);
		return isCurrent;
	};

	const noteEnds = (noted: number) => {
		for (const {number, task, run, ending, hasLapsed} of ends) {
			if (number <= noted && !hasLapsed) {
				observe({
					kind: 'end-noted', worker: name, task, run, ending,
				});
			}
		}

		ends = ends.filter(({number}) => number > noted);
	};

	const listRuns = (): LeaseExtensionResult => ({
		kind: 'answered',
		incarnation: String(born),
		clock: readClock(),
		running: [...runs.values()].map(({task, run, startedAt}): ReportedRun => ({
			task, run, checkpoint: '', percent: Math.min(99, Math.floor((clock.now() - startedAt) / workMillisecondsOf(task) * 100)),
		})),
		ended: ends.map(({hasLapsed, ...end}) => end),
	});

	return {
		born,
		readClock,
		start({task, run, epoch, deadline: until}) {
			if (!raiseFence(epoch)) {
				return {kind: 'refused', reason: 'superseded'};
			}

			if (runs.has(keyOf({task, run}))) {
				return {kind: 'started', clock: readClock()};
			}

			if (run <= (highestEndedRun.get(task) ?? 0)) {
				extendLease(until);
				return {kind: 'refused', reason: 'run-too-low'};
			}

			if (until <= readClock()) {
				return {kind: 'refused', reason: 'too-late'};
			}

			extendLease(until);
			const started: Run = {
				task, run, startedAt: clock.now(), isStopping: false, cancel: clock.schedule(workMillisecondsOf(task), () => {
					endRun(started, 'done');
				}),
			};
			runs.set(keyOf(started), started);
			observe({
				kind: 'started', worker: name, task, run,
			});
			return {kind: 'started', clock: readClock()};
		},
		stop({task, run, epoch}) {
			if (!raiseFence(epoch)) {
				return {kind: 'failed', message: 'fence'};
			}

			raiseEndedRun(task, run);
			const present = runs.get(keyOf({task, run}));
			if (present?.isStopping === false) {
				present.isStopping = true;
				present.cancel();
				present.cancel = clock.schedule(stopMilliseconds, () => {
					endRun(present, 'stopped');
				});
			}

			return {kind: 'stopped', clock: readClock()};
		},
		async extendLeases({epoch, deadline: until, notedEnd, wait}) {
			if (!raiseFence(epoch)) {
				return {kind: 'refused', message: 'fence'};
			}

			noteEnds(notedEnd);
			if (until !== undefined) {
				extendLease(until);
			}

			if (ends.length === 0 && wait > 0) {
				await new Promise<void>(resolve => {
					waiting.add(resolve);
					clock.schedule(wait, resolve);
				});
			}

			return listRuns();
		},
		end() {
			cancelLease();
			lapseEnds();
			for (const {task, run, cancel} of runs.values()) {
				cancel();
				observe({
					kind: 'ended', worker: name, task, run, ending: 'crashed',
				});
			}

			runs.clear();
		},
	};
}

const failed = {kind: 'failed', message: 'timeout'} as const;

export function createWorker(options: WorkerOptions): SimulatedWorker {
	const {name, clock} = options;
	let incarnation = startIncarnation(options);
	let sequence = 0;
	let delayed = {count: 0, delay: 0};
	/** Resolves with the answer, or after the timeout if the incarnation ended before it. */
	const call = async <Reply>(carryOut: (current: Incarnation) => Promise<Reply> | Reply, timeout: number, failure: Reply): Promise<Reply> => {
		await sleep(clock, latencyMilliseconds);
		const asked = incarnation;
		const reply = await carryOut(asked);
		await sleep(clock, latencyMilliseconds);
		if (asked === incarnation) {
			return reply;
		}

		await sleep(clock, timeout);
		return failure;
	};

	return {
		name,
		connect: agent => ({
			async start(request) {
				const failure: StartReply = {kind: 'unknown', message: 'timeout'};
				if (delayed.count === 0) {
					return agent.deliver(await call(current => current.start(request), workerCallTimeoutMilliseconds, failure));
				}

				delayed = {...delayed, count: delayed.count - 1};
				clock.schedule(delayed.delay, () => {
					incarnation.start(request);
				});
				await sleep(clock, workerCallTimeoutMilliseconds);
				return agent.deliver(failure);
			},
			stop: async request => agent.deliver(await call<StopReply>(current => current.stop(request), workerCallTimeoutMilliseconds, failed)),
			async extendLeases(extension) {
				return agent.deliver(await call<LeaseExtensionResult>(async current => current.extendLeases(extension), extension.wait + extensionMarginMilliseconds, failed));
			},
		}),
		announce: () => ({
			worker: name as WorkerId,
			address: `${name}:1`,
			incarnation: String(incarnation.born),
			startedAt: incarnation.born,
			sequence: ++sequence,
			service: 'svc' as ServiceName,
			zone: 'z',
			labels: ['a', 'r-1'],
			rack: 'r-1',
			capacity: {processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators},
			state: 'ready',
			leavesInMilliseconds: undefined,
			clock: incarnation.readClock(),
		}),
		restart() {
			incarnation.end();
			sequence = 0;
			incarnation = startIncarnation(options);
		},
		delayStarts(count, delay) {
			delayed = {count, delay};
		},
	};
}
