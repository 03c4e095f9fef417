/** One incarnation of a platform's worker, by the published protocol: its runs, their leases and their ends. The next incarnation knows nothing of it. */
import type {Milliseconds} from '#core';

/** Body of an order. */
export type Order = Readonly<Record<string, unknown>>;
export type Answer = Readonly<{status: number; body: unknown}>;
/** Returns whether the answer was sent. */
export type Respond = (answer: Answer) => boolean;

/** One start, for comparison with what callers were told. Times are Unix times in milliseconds. */
export type StartRecord = Readonly<{
	worker: string;
	/** Start of the incarnation that ran it. */
	born: number;
	task: string;
	run: number;
	startedAt: number;
	endedAt: number | undefined;
	ending: string | undefined;
	/** When an answer first listed the end. */
	listedAt: number | undefined;
	/** When `last_seen` reached the end, unless the worker's lease lapsed before. */
	notedAt: number | undefined;
	/** When the worker's lease lapsed after the end, unless `last_seen` reached it before. */
	lapsedAt: number | undefined;
}>;

type MutableRecord = {-readonly [Key in keyof StartRecord]: StartRecord[Key]};
type Run = {readonly record: MutableRecord; isStopping: boolean; timer: NodeJS.Timeout};
type End = Readonly<{number: number; record: MutableRecord}>;

export type IncarnationOptions = Readonly<{
	worker: string;
	born: number;
	workMilliseconds: Milliseconds;
	/** Longest lease; longer ones are shortened. */
	maximumHoldMilliseconds: Milliseconds;
	stopMilliseconds: Milliseconds;
	failsAll: boolean;
	/** Whether the task gets nowhere; its runs are listed without progress. */
	makesNoProgress(task: string): boolean;
	/** Receives every start. */
	addRecord(record: StartRecord): void;
}>;

export type Incarnation = Readonly<{
	born: number;
	clock(): Milliseconds;
	start(order: Order): Answer;
	stop(order: Order): Answer;
	/** Answers at once, or when a run ends. */
	hold(order: Order, respond: Respond): void;
	/** Ends everything like a killed process, without an answer to any call. */
	end(ending: 'crashed' | 'left'): void;
}>;

/** A steady clock need not begin at 0. */
const clockOffset = 50_000;
const maximumWaitMilliseconds = 2000;
const maximumListedEnds = 500;

export function startIncarnation(options: IncarnationOptions): Incarnation {
	const {worker, born, workMilliseconds, maximumHoldMilliseconds, stopMilliseconds, failsAll, makesNoProgress, addRecord} = options;
	/** By task and run: nothing in the protocol keeps two runs of a task apart. */
	const runs = new Map<string, Run>();
	const highestEndedRun = new Map<string, number>();
	const waiting = new Map<() => void, NodeJS.Timeout>();
	let ends: readonly End[] = [];
	let endCount = 0;
	let fence = 0;
	let deadline = 0;
	let leaseTimer: NodeJS.Timeout | undefined;
	const clock = () => Date.now() - born + clockOffset;
	const answer = (status: number, body: Order = {}): Answer => ({status, body: {clock_ms: clock(), ...body}});
	const keyOf = (task: string, run: number) => `${task} ${run}`;

	const raiseEndedRun = (task: string, run: number) => {
		highestEndedRun.set(task, Math.max(highestEndedRun.get(task) ?? 0, run));
	};

	const closeRun = ({record, timer}: Run, ending: string) => {
		clearTimeout(timer);
		runs.delete(keyOf(record.task, record.run));
		record.endedAt = Date.now();
		record.ending = ending;
	};

	const endRun = (run: Run, ending: string) => {
		closeRun(run, ending);
		raiseEndedRun(run.record.task, run.record.run);
		ends = [...ends, {number: ++endCount, record: run.record}];
		for (const wake of waiting.keys()) {
			wake();
		}
	};

	const lapse = () => {
		for (const {record} of ends) {
			record.lapsedAt ??= Date.now();
		}

		for (const run of runs.values()) {
			endRun(run, 'lapsed');
		}
	};

	const extendLease = (until: unknown) => {
		deadline = Math.max(deadline, Math.min(Number(until ?? 0), clock() + maximumHoldMilliseconds));
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(lapse, Math.max(0, deadline - clock()));
	};

	/** Whether the order comes from the highest epoch seen so far; a missing token counts as 0. */
	const raiseFence = ({fencing_token: token = 0}: Order) => {
		const isCurrent = Number(token) >= fence;
		fence = Math.max(fence, Number(token));
		return isCurrent;
	};

	const begin = (task: string, run: number) => {
		const record: MutableRecord = {
			worker, born, task, run, startedAt: Date.now(), endedAt: undefined, ending: undefined, listedAt: undefined, notedAt: undefined, lapsedAt: undefined,
		};
		const started: Run = {
			record,
			isStopping: false,
			timer: setTimeout(() => {
				endRun(started, failsAll ? 'failed' : 'done');
			}, workMilliseconds),
		};
		runs.set(keyOf(task, run), started);
		addRecord(record);
	};

	const noteEnds = (lastSeen: number) => {
		for (const {number, record} of ends) {
			if (number <= lastSeen && record.lapsedAt === undefined) {
				record.notedAt ??= Date.now();
			}
		}

		ends = ends.filter(({number}) => number > lastSeen);
	};

	const percentOf = ({task, startedAt}: StartRecord) => makesNoProgress(task) ? 0 : Math.min(99, Math.floor((Date.now() - startedAt) / workMilliseconds * 100));

	const listRuns = (respond: Respond) => {
		const listed = ends.slice(0, maximumListedEnds);
		const isSent = respond(answer(200, {
			born,
			running: [...runs.values()].map(({record}) => [record.task, record.run, '', percentOf(record), 0]),
			finished: listed.map(({number, record}) => [number, record.task, record.run, record.ending, '']),
		}));
		for (const {record} of isSent ? listed : []) {
			record.listedAt ??= Date.now();
		}
	};

	return {
		born,
		clock,
		start(order) {
			const task = String(order['task']);
			const run = Number(order['run_id']);
			if (!raiseFence(order)) {
				return answer(409, {reason: 'fence'});
			}

			if (runs.has(keyOf(task, run))) {
				return answer(200);
			}

			if (run <= (highestEndedRun.get(task) ?? 0)) {
				extendLease(order['deadline_ms']);
				return answer(409, {reason: 'old'});
			}

			if (Number(order['deadline_ms']) <= clock()) {
				return answer(409, {reason: 'late'});
			}

			extendLease(order['deadline_ms']);
			begin(task, run);
			return answer(200);
		},
		stop(order) {
			const task = String(order['task']);
			const run = Number(order['run_id']);
			if (!raiseFence(order)) {
				return answer(409, {reason: 'fence'});
			}

			// A run that is not there is rejected from now on.
			raiseEndedRun(task, run);
			const present = runs.get(keyOf(task, run));
			if (present !== undefined && !present.isStopping) {
				present.isStopping = true;
				clearTimeout(present.timer);
				present.timer = setTimeout(() => {
					endRun(present, 'stopped');
				}, stopMilliseconds);
			}

			return answer(200);
		},
		hold(order, respond) {
			if (!raiseFence(order)) {
				respond(answer(409, {reason: 'fence'}));
				return;
			}

			noteEnds(Number(order['last_seen'] ?? 0));
			if (order['deadline_ms'] !== undefined) {
				extendLease(order['deadline_ms']);
			}

			const wake = () => {
				clearTimeout(waiting.get(wake));
				waiting.delete(wake);
				listRuns(respond);
			};

			const wait = ends.length > 0 ? 0 : Math.min(maximumWaitMilliseconds, Number(order['wait_ms'] ?? 0));
			if (wait === 0) {
				wake();
			} else {
				waiting.set(wake, setTimeout(wake, wait));
			}
		},
		end(ending) {
			clearTimeout(leaseTimer);
			for (const timer of waiting.values()) {
				clearTimeout(timer);
			}

			waiting.clear();
			for (const run of runs.values()) {
				closeRun(run, ending);
			}
		},
	};
}
