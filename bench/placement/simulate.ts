import {
	createRandomSource, type JobId, type Milliseconds, type WorkerId,
} from '#core';
import {
	measureFragmentation, type MemberPlacement, type WorkerCell, type WorkerHolding, type ZoneView,
} from '#placement';
import {createEventQueue} from './event-queue.js';
import {createResults, type Recorder} from './record.js';
import type {
	BenchGang, Policy, Result, Scenario,
} from './types.js';
import {drawExponential, drawGang} from './workload.js';

/** Reserve, commit and start of a gang, each a round trip within the zone, with the work of both sides. */
const startRoundMilliseconds = 10;
const sampleIntervalMilliseconds = 30_000;
/** Waiting gangs that one pass tries; those behind them wait for the next pass. */
const maximumTriesPerPass = 60;

type Run = Readonly<{
	gang: BenchGang;
	members: readonly MemberPlacement[];
	startAt: Milliseconds;
	finishAt: Milliseconds;
	/** Set while an evicted gang takes its checkpoint. */
	stopAt?: Milliseconds;
}>;

type Event =
	| Readonly<{kind: 'submitted'; position: number}>
	| Readonly<{kind: 'ended'; job: JobId; run: Run}>
	| Readonly<{kind: 'end-seen'; job: JobId; run: Run}>
	| Readonly<{kind: 'sampled'}>;

/** Runs one scenario under one policy in virtual time. The same seed gives every policy the same sources. */
export function simulate(scenario: Scenario, policy: Policy, seed: number): Result {
	const events = createEventQueue<Event>();
	const sources = scenario.sources.map((source, position) => ({source, position, random: createRandomSource((seed * 1000) + position)}));
	const submissions = new Map<number, number>();
	const cells = listCellsByWorker(scenario);
	/** Runs as the placer sees them: they stay until their end has been seen. */
	const seen = new Map<JobId, Run>();
	const recorder = createResults(scenario);
	let waiting: readonly BenchGang[] = [];
	let now = 0;

	for (const {source, position, random} of sources) {
		events.add(drawExponential(random, source.interval), {kind: 'submitted', position});
	}

	events.add(sampleIntervalMilliseconds, {kind: 'sampled'});
	for (let next = events.next(); next !== undefined && next.at <= scenario.horizon; next = events.next()) {
		now = next.at;
		handle(next.event);
	}

	recorder.close(waiting, [...seen.values()]);
	return recorder.read();

	function handle(event: Event): void {
		switch (event.kind) {
			case 'submitted': {
				submit(event.position);
				break;
			}

			case 'ended': {
				if (seen.get(event.job) === event.run) {
					end(event.job, event.run);
				}

				break;
			}

			case 'end-seen': {
				if (seen.get(event.job) === event.run) {
					seen.delete(event.job);
				}

				placeWaiting(waiting);
				break;
			}

			case 'sampled': {
				sample(recorder);
				events.add(now + sampleIntervalMilliseconds, {kind: 'sampled'});
				break;
			}
		}
	}

	function submit(position: number): void {
		const {source, random} = sources[position]!;
		const number = submissions.get(position) ?? 0;
		submissions.set(position, number + 1);
		const gang = drawGang(source, {
			position, number, random, submittedAt: now,
		});
		if (source.kind === 'arrivals') {
			events.add(now + drawExponential(random, source.interval), {kind: 'submitted', position});
		}

		waiting = [...waiting, gang].toSorted(compareGangs);
		placeWaiting([gang]);
	}

	function placeWaiting(gangs: readonly BenchGang[]): void {
		const failed = new Set<string>();
		for (const gang of gangs.slice(0, maximumTriesPerPass)) {
			const {plan, shape} = gang.request;
			const key = `${plan} ${gang.gangClass} ${shape.members} ${shape.acceleratorsPerMember} ${shape.adjacency}`;
			if (!failed.has(key) && !place(gang)) {
				failed.add(key);
			}
		}
	}

	function place(gang: BenchGang): boolean {
		const decision = policy.decide({view: createView(), quotas: scenario.quotas}, gang.request);
		const freeAt = Math.max(now, ...decision.evictions.map(evict));
		switch (decision.kind) {
			case 'start': {
				start(gang, decision.members, freeAt + startRoundMilliseconds);
				return true;
			}

			case 'wait': {
				return false;
			}
		}
	}

	function start(gang: BenchGang, members: readonly MemberPlacement[], startAt: Milliseconds): void {
		const run = {
			gang, members, startAt, finishAt: startAt + gang.run,
		};
		waiting = waiting.filter(other => other !== gang);
		seen.set(gang.request.job, run);
		recorder.recordWait(gang, startAt - gang.request.submittedAt);
		events.add(run.finishAt, {kind: 'ended', job: gang.request.job, run});
	}

	/** Asks a gang to checkpoint, unless it was asked before, and returns when its accelerators are free. */
	function evict(job: JobId): Milliseconds {
		const run = seen.get(job)!;
		if (run.stopAt !== undefined) {
			return run.stopAt;
		}

		const stopAt = Math.min(run.finishAt, Math.max(now, run.startAt) + run.gang.checkpoint);
		const stopping = {...run, stopAt};
		seen.set(job, stopping);
		events.add(stopAt, {kind: 'ended', job, run: stopping});
		return stopAt;
	}

	function end(job: JobId, run: Run): void {
		const {gang} = run;
		recorder.recordUse(gang, run.startAt, now);
		if (now >= run.finishAt) {
			recorder.recordCompletion(gang, now - gang.request.submittedAt);
			if (gang.source !== undefined) {
				const {source, random} = sources[gang.source]!;
				events.add(now + drawExponential(random, source.interval), {kind: 'submitted', position: gang.source});
			}
		} else {
			recorder.recordEviction();
			const remaining = {...gang, run: run.finishAt - now};
			waiting = [...waiting, remaining].toSorted(compareGangs);
		}

		// The job may be placed again before its end has been seen, so its holdings move to a name of their own.
		const ended = {...run, stopAt: now};
		const trace = `${job} ended ${now}` as JobId;
		seen.delete(job);
		seen.set(trace, ended);
		events.add(now + gang.reportLag, {kind: 'end-seen', job: trace, run: ended});
	}

	function createView(): ZoneView {
		const holdings = new Map<WorkerId, WorkerHolding[]>();
		for (const [job, {gang, members}] of seen) {
			const {plan, preemptible, submittedAt} = gang.request;
			for (const {worker, accelerators} of members) {
				const held = holdings.get(worker) ?? [];
				holdings.set(worker, held);
				held.push({
					job, plan, preemptible, submittedAt, accelerators,
				});
			}
		}

		return {
			workers: scenario.workers.map(({worker, rack, accelerators}) => ({
				worker, rack, accelerators, cells: cells.get(worker) ?? [], holdings: holdings.get(worker) ?? [],
			})),
		};
	}

	function sample({recordFragmentation}: Recorder): void {
		const view = createView();
		const requests = waiting.map(({request}) => request);
		recordFragmentation(now, {
			physical: measureFragmentation({workers: view.workers.map(worker => ({...worker, cells: []}))}, requests),
			ruled: measureFragmentation(view, requests),
		});
	}
}

const order = {guaranteed: 0, open: 1, borrowing: 2} as const;

function compareGangs(first: BenchGang, second: BenchGang): number {
	return (order[first.gangClass] - order[second.gangClass]) || (first.request.submittedAt - second.request.submittedAt);
}

function listCellsByWorker({layout}: Scenario): ReadonlyMap<WorkerId, readonly WorkerCell[]> {
	const cells = new Map<WorkerId, WorkerCell[]>();
	for (const [position, {plan, adjacency, accelerators: size, parts}] of layout.cells.entries()) {
		const cell = {position, adjacency, accelerators: size};
		for (const {worker, accelerators} of parts) {
			cells.set(worker, [...(cells.get(worker) ?? []), {plan, accelerators, cell}]);
		}
	}

	return cells;
}
