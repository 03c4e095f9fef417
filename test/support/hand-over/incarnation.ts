/** One incarnation of a worker in virtual time, by the published protocol: its runs, their leases and their ends. */
import type {
	EndedRun, ReportedRun, RunEnding, TaskName,
} from '#jobs';
import type {Cancel, Clock} from '#kernel';
import type {LeaseExtension, LeaseExtensionResult} from '#supervision';
import type {
	StartCall, StartReply, StopCall, StopReply,
} from '../../../packages/supervisor/ports.js';

export type RunEvent = Readonly<{
	kind: 'started' | 'ended' | 'end-noted' | 'end-lapsed'; worker: string; task: TaskName; run: number; ending?: RunEnding | 'crashed';
}>;

export type WorkerOptions = Readonly<{
	name: string;
	clock: Clock;
	/** Rate of the worker's own clock. */
	clockRate: number;
	/** Ends that it lists at a time. */
	listedEnds: number;
	workMillisecondsOf(task: TaskName): number;
	observe(event: RunEvent): void;
}>;

type Run = {readonly task: TaskName; readonly run: number; readonly startedAt: number; isStopping: boolean; cancel: Cancel};

/** Longest lease that the worker grants. */
export const maximumHoldMilliseconds = 10_000;
const stopMilliseconds = 400;

export type Incarnation = Readonly<{
	born: number;
	readClock(): number;
	start(call: StartCall): StartReply;
	stop(call: StopCall): StopReply;
	extendLeases(extension: LeaseExtension): Promise<LeaseExtensionResult>;
	end(): void;
}>;

export function startIncarnation({name, clock, clockRate, listedEnds, workMillisecondsOf, observe}: WorkerOptions): Incarnation {
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
		ended: {kind: ends.length < listedEnds ? 'whole' : 'cut', ends: ends.slice(0, listedEnds).map(({hasLapsed, ...end}) => end)},
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
