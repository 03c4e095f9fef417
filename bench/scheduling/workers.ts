/** Simulated workers that carry out orders in virtual time and report as agents do. */
import type {MonotonicTime, RandomSource, WorkerId} from '#core';
import type {
	EndedRun, JobStep, ReportedRun, ServiceName, TaskName, WorkerSnapshot,
} from '#jobs';
import type {AgentName, StartOrder, StopOrder} from '#scheduling';
import {acceleratorsPerWorker, coresPerWorker, workersPerRack} from './scenarios.js';

/** How long a worker takes to stop a run, as the large deployment states it. */
export const stopMilliseconds = 400;
/** Interval of an agent's reports while nothing ends. */
export const reportMilliseconds = 500;

type SimulatedRun = Readonly<{task: TaskName; run: number; step: JobStep; duration: number; initialPercent: number; failsAtPercent: number}> & {
	stopsAt: MonotonicTime;
	/** Rate of progress since `since`, in relation to a usual worker, and the percentage of the task that was done before. */
	rate: number;
	since: MonotonicTime;
	earlierPercent: number;
};

/** A run as its rate depends on it. */
export type RatedRun = Readonly<{task: TaskName; step: JobStep}>;

/** How long a run takes on a usual worker, and the percentage at which it fails. */
export type RunBehaviour = Readonly<{duration: number; failsAtPercent: number}>;

export type SimulatedWorker = Readonly<{
	agent: AgentName;
	rack: string;
	start(order: StartOrder, step: JobStep, behaviour: RunBehaviour, time: MonotonicTime): void;
	stop(order: StopOrder, time: MonotonicTime): void;
	/** Ends what is due; returns whether something ended. */
	advance(time: MonotonicTime): boolean;
	acknowledge(notedEnd: number): void;
	/** Ends all runs without a report; the next incarnation of the worker starts empty. */
	leave(): void;
	describe(time: MonotonicTime, leavesInMilliseconds?: number): WorkerSnapshot;
	listRuns(): readonly RatedRun[];
	/** Changes the rate of a run's progress. */
	setRate(task: TaskName, rate: number, time: MonotonicTime): void;
	reportsAt(): number;
}>;

/** Creates a worker of 128 cores, 512 GB and 8 accelerators, 12 in a rack. */
export function createSimulatedWorker(index: number, service: ServiceName, random: RandomSource): SimulatedWorker {
	const agent: AgentName = `side-${index}`;
	const rack = `rack-${Math.floor(index / workersPerRack)}`;
	const runs = new Map<TaskName, SimulatedRun>();
	const reportOffset = Math.floor(random() * reportMilliseconds);
	let ended: EndedRun[] = [];
	let endCount = 0;
	let incarnation = 1;
	const measureGain = ({since, duration, rate, earlierPercent}: SimulatedRun, time: MonotonicTime) => earlierPercent + ((time - since) * rate * 100 / duration);
	const measurePercent = (run: SimulatedRun, time: MonotonicTime) => Math.min(100, run.initialPercent + Math.floor(measureGain(run, time)));
	const end = (run: SimulatedRun, ending: EndedRun['ending'], time: MonotonicTime) => {
		runs.delete(run.task);
		ended.push({
			number: ++endCount, task: run.task, run: run.run, ending, checkpoint: run.step.isCheckpointing && ending === 'stopped' ? String(measurePercent(run, time)) : '',
		});
	};

	return {
		agent,
		rack,
		start({task, run, checkpoint}, step, {duration, failsAtPercent}, time) {
			runs.set(task, {
				task, run, step, duration, initialPercent: Number(checkpoint), failsAtPercent, stopsAt: Infinity, rate: 1, since: time, earlierPercent: 0,
			});
		},
		stop({task, run}, time) {
			const current = runs.get(task);
			if (current?.run === run) {
				current.stopsAt = Math.min(current.stopsAt, time + stopMilliseconds);
			}
		},
		advance(time) {
			const earlier = endCount;
			for (const run of runs.values()) {
				if (measurePercent(run, time) >= run.failsAtPercent) {
					end(run, 'failed', time);
				} else if (measurePercent(run, time) >= 100) {
					end(run, 'done', time);
				} else if (time >= run.stopsAt) {
					end(run, 'stopped', time);
				}
			}

			return endCount > earlier;
		},
		acknowledge(notedEnd) {
			ended = ended.filter(({number}) => number > notedEnd);
		},
		leave() {
			runs.clear();
			ended = [];
			endCount = 0;
			incarnation++;
		},
		describe: (time, leavesInMilliseconds) => ({
			worker: `worker-${index}` as WorkerId,
			incarnation: String(incarnation),
			service,
			zone: 'zone',
			labels: ['a'],
			rack,
			capacity: {processorMillicores: coresPerWorker * 1000, memoryMegabytes: 524_288, accelerators: acceleratorsPerWorker},
			...(leavesInMilliseconds === undefined ? {state: 'ready'} : {state: 'draining', leavesInMilliseconds}),
			isResponsive: true,
			isLeaseOver: false,
			running: [...runs.values()].map((run): ReportedRun => ({
				task: run.task, run: run.run, checkpoint: run.step.isCheckpointing ? String(measurePercent(run, time)) : '', percent: measurePercent(run, time),
			})),
			ended,
			lost: [],
		}),
		listRuns: () => [...runs.values()],
		setRate(task, rate, time) {
			const run = runs.get(task);
			if (run !== undefined && run.rate !== rate) {
				run.earlierPercent = measureGain(run, time);
				run.since = time;
				run.rate = rate;
			}
		},
		reportsAt: () => reportOffset,
	};
}
