/** Plays a scenario: the scheduler's decisions against simulated workers, in virtual time and without a network. */
import {createRandomSource, type Milliseconds} from '#core';
import type {EstimateError} from '#forecast';
import type {JobKey, TenantName} from '#jobs';
import {
	createSchedulerState, defaultPolicy, receiveSchedulerMessage, type SchedulerEffect, type SchedulerMessage, type SchedulerState, type SchedulingPolicy,
} from '#scheduling';
import {createPaceState} from '#pace';
import {
	createDepartures, createFailures, noFaults, type Faults,
} from './faults.js';
import {createForecasting, type ModelAdmission} from './forecasting.js';
import {createRates} from './rates.js';
import {
	service, type ArrivingJob, type Kind, type Scenario,
} from './scenarios.js';
import {
	createSimulatedWorker, reportMilliseconds, stopMilliseconds, type SimulatedWorker,
} from './workers.js';

export type PlayedJob = Readonly<{
	kind: Kind;
	tenant: TenantName | undefined;
	/** How much later it was invited to return; undefined if it was accepted. */
	retryAfter: Milliseconds | undefined;
	/** Milliseconds from the submission to the first start; undefined if no task started. */
	wait: number | undefined;
	isOnTime: boolean;
	isCompleted: boolean;
	/** What callers pay for it, and what they would pay at most. */
	earned: number;
	owed: number;
}>;

export type Played = Readonly<{
	jobs: readonly PlayedJob[];
	starts: number;
	stops: number;
	/** Rounds of stops for a unit while its earlier ones were still under way. */
	repeatedStops: number;
	/** Starts of tasks that belong in one rack, in several. */
	spreadStarts: number;
	discardedCoreSeconds: number;
	/** Lost core-seconds by reason. */
	lostCoreSeconds: ReadonlyMap<string, number>;
	/** Core-seconds of the jobs that ended on time; an accelerator counts as 8 cores. */
	onTimeCoreSeconds: number;
	/** Core-seconds of runs on uneven workers, and of those that a neighbour slowed; an accelerator counts as 8 cores. */
	coreSeconds: number;
	slowedCoreSeconds: number;
	/** Mean duration of completed gangs in relation to their duration on usual workers in one rack. */
	gangStretch: number;
	/** Placements that were other ones because of beliefs about neighbours. */
	keptApart: number;
	/** Pairs that were believed to interfere, at any time, and those of them that do not. */
	believedPairs: number;
	wrongPairs: number;
	/** Speeds that were believed at the end, and those of them that are off by more than half a step. */
	believedSpeeds: number;
	wrongSpeeds: number;
	/** Errors of the estimates that jobs were given. */
	estimateErrors: readonly EstimateError[];
	/** Duration of each forecast, from the scheduler's state. */
	forecastDurations: readonly Milliseconds[];
	/** Duration of each handled message, by kind. */
	durations: Readonly<Record<SchedulerMessage['kind'], readonly Milliseconds[]>>;
}>;

/** How much longer tasks that belong in one rack take in several. */
const spreadFactor = 3;
const stepMilliseconds = 25;
const tickMilliseconds = 250;
/** Time after the last arrival in which jobs may still end. */
const drainMilliseconds = 30_000;
/** Callers pay less for a job that takes up to this multiple of its time, and nothing after it. */
const lateFactor = 3;
const seed = 5;
const faultSeed = 6;

export type PlayOptions = Readonly<{
	faults?: Faults;
	policy?: SchedulingPolicy;
	/** `none`: the scheduler forgets its beliefs before they have an effect. `known`: it knows the real speeds, which shows what learning could bring at most. */
	beliefs?: 'learned' | 'none' | 'known';
	admission?: ModelAdmission;
}>;

/** Plays the scenario to its end, one message after the other. */
export function playScenario(scenario: Scenario, {faults = noFaults, policy = defaultPolicy, beliefs = 'learned', admission = 'all'}: PlayOptions = {}): Played {
	const random = createRandomSource(seed);
	const faultRandom = createRandomSource(faultSeed);
	const findFailure = createFailures(faults, scenario.arrivals, faultRandom);
	const departures = createDepartures(faults, scenario.workers, faultRandom);
	const lostCoreSeconds = new Map<string, number>();
	const workers = new Map(Array.from({length: scenario.workers}, (_, index) => createSimulatedWorker(index, service, random)).map(worker => [worker.agent, worker]));
	const jobs = new Map<JobKey, ArrivingJob>(scenario.arrivals.map(job => [job.submission.job, job]));
	const firstStarts = new Map<JobKey, number>();
	const completions = new Map<JobKey, number>();
	const ended = new Set<JobKey>();
	const lastStops = new Map<string, number>();
	const durations = createDurations();
	const rates = createRates(scenario, [...workers.values()], seed);
	const gangStarts = new Map<JobKey, number>();
	let state: SchedulerState = createSchedulerState(1, policy);
	let time = 0;
	let starts = 0;
	let stops = 0;
	let repeatedStops = 0;
	let spreadStarts = 0;
	let discardedCoreSeconds = 0;
	let keptApart = 0;
	const forecasting = createForecasting(admission);

	/** Whether the runs of a job that belongs in one rack are in several. */
	const isSpread = (key: JobKey) => {
		const job = state.jobs.get(key);
		const agents = [...job?.tasks.values() ?? []].flatMap(({run}) => run === undefined ? [] : [run.agent]);
		return job?.submission.request.steps[0]?.prefersOneRack === true && new Set(agents.map(agent => workers.get(agent)?.rack)).size > 1;
	};

	const startTasks = ({agent, job, orders}: Extract<SchedulerEffect, {kind: 'start'}>): void => {
		const arriving = jobs.get(job);
		const step = arriving?.submission.request.steps[0];
		if (arriving === undefined || step === undefined) {
			return;
		}

		const isSlow = isSpread(job);
		starts += orders.length;
		spreadStarts += isSlow ? orders.length : 0;
		firstStarts.set(job, firstStarts.get(job) ?? time);
		gangStarts.set(job, time);
		for (const order of orders) {
			const duration = arriving.duration * (isSlow ? spreadFactor : 1) * (step.isGang ? 1 : rates.drawLength());
			workers.get(agent)?.start(order, step, {duration, failsAtPercent: findFailure(order.task)}, time);
		}
	};

	const noteEvent = ({event, fields: {reason, lossReason, lossCoreSeconds, job, outcome}}: Extract<SchedulerEffect, {kind: 'log'}>): void => {
		if (typeof lossReason === 'string') {
			lostCoreSeconds.set(lossReason, (lostCoreSeconds.get(lossReason) ?? 0) + Number(lossCoreSeconds));
		}

		if (event === 'stop-ordered' && typeof reason === 'string' && reason.startsWith('room for')) {
			repeatedStops += time - (lastStops.get(reason) ?? -Infinity) < stopMilliseconds ? 1 : 0;
			lastStops.set(reason, time);
			discardedCoreSeconds += Number(lossCoreSeconds);
		}

		keptApart += event === 'kept-apart' ? 1 : 0;
		if (event === 'job-ended') {
			ended.add(job as JobKey);
			if (outcome === 'completed') {
				completions.set(job as JobKey, time);
			}
		}
	};

	const perform = (effect: SchedulerEffect): void => {
		switch (effect.kind) {
			case 'start': {
				startTasks(effect);
				send({kind: 'start-answered', agent: effect.agent, answers: effect.orders.map(({task, run}) => ({task, run, result: 'started'}))});
				break;
			}

			case 'stop': {
				stops += effect.orders.length;
				for (const order of effect.orders) {
					workers.get(effect.agent)?.stop(order, time);
				}

				send({
					kind: 'stop-answered', agent: effect.agent, incarnation: effect.incarnation, orders: effect.orders,
				});
				break;
			}

			case 'store-progress': {
				const job = state.jobs.get(effect.job);
				send({
					kind: 'stored', job: effect.job, version: job?.version ?? 0, keyVersion: 1,
				});
				break;
			}

			case 'log': {
				noteEvent(effect);
				break;
			}

			case 'request-pass':
			case 'acknowledge':
			case 'remove-records': {
				break;
			}
		}
	};

	const send = (message: SchedulerMessage): void => {
		const startedAt = performance.now();
		const step = receiveSchedulerMessage(state, message, {now: time, monotonic: time});
		durations[message.kind].push(performance.now() - startedAt);
		state = beliefs === 'learned' ? step.state : {...step.state, pace: {...step.state.pace, beliefs: beliefs === 'none' ? createPaceState() : rates.findBeliefs(time)}};
		rates.noteBeliefs(state, time);
		for (const effect of step.effects) {
			perform(effect);
		}
	};

	const leave = (worker: SimulatedWorker, index: number) => {
		const {worker: identifier, incarnation} = worker.describe(time);
		worker.leave();
		departures.renew(index, time);
		send({
			kind: 'incarnation-ended', agent: worker.agent, worker: identifier, incarnation, ending: 'left', ended: [],
		});
	};

	const report = (worker: SimulatedWorker, leavesIn?: Milliseconds) => {
		send({kind: 'renewed', agent: worker.agent, snapshot: worker.describe(time, leavesIn)});
		worker.acknowledge(state.workers.get(worker.agent)?.notedEnd ?? 0);
	};

	send({kind: 'configured', configuration: scenario.configuration});
	send({kind: 'loaded', jobs: [], workers: []});
	for (const worker of workers.values()) {
		report(worker);
	}

	const arrivals = [...scenario.arrivals];
	while (time < scenario.length + drainMilliseconds && (arrivals.length > 0 || ended.size + forecasting.refused.size < jobs.size)) {
		time += stepMilliseconds;
		while ((arrivals[0]?.at ?? Infinity) <= time) {
			const arrival = arrivals.shift();
			if (arrival !== undefined && forecasting.accepts(arrival.submission, time)) {
				send({kind: 'submitted', submission: arrival.submission});
			}
		}

		rates.update(time);
		for (const [index, worker] of [...workers.values()].entries()) {
			const leavesIn = departures.leavesAt(index) - time;
			if (leavesIn <= 0) {
				leave(worker, index);
			} else if (time >= departures.returnsAt(index) && (worker.advance(time) || (time - worker.reportsAt()) % reportMilliseconds < stepMilliseconds)) {
				report(worker, leavesIn <= faults.noticeMilliseconds ? leavesIn : undefined);
			}
		}

		if (time % tickMilliseconds < stepMilliseconds) {
			send({kind: 'tick'});
			forecasting.update(state, time);
		}

		if (state.isScheduleDue) {
			send({kind: 'pass'});
		}
	}

	const played = scenario.arrivals.map((job): PlayedJob => {
		const {job: key} = job.submission;
		const startedAt = firstStarts.get(key);
		const completedAt = completions.get(key) ?? Infinity;
		const age = completedAt - job.at;
		return {
			kind: job.kind,
			tenant: job.submission.tenant,
			retryAfter: forecasting.refused.get(key),
			wait: startedAt === undefined ? undefined : startedAt - job.at,
			isOnTime: age <= job.onTimeMilliseconds,
			isCompleted: completedAt < Infinity,
			earned: age <= job.onTimeMilliseconds ? job.worth : (age <= job.onTimeMilliseconds * lateFactor ? job.lateWorth : 0),
			owed: job.worth,
		};
	});
	return {
		jobs: played,
		starts,
		stops,
		repeatedStops,
		spreadStarts,
		discardedCoreSeconds,
		lostCoreSeconds,
		durations,
		keptApart,
		...rates.describe(),
		gangStretch: measureGangStretch(scenario, gangStarts, completions),
		estimateErrors: forecasting.errors,
		forecastDurations: forecasting.durations,
		onTimeCoreSeconds: scenario.arrivals.reduce((total, job, index) => total + (played[index]?.isOnTime === true ? measureWork(job) : 0), 0),
	};
}

/** Gangs that the scheduler started once, on time of their last start. */
function measureGangStretch({arrivals}: Scenario, starts: ReadonlyMap<JobKey, number>, completions: ReadonlyMap<JobKey, number>): number {
	const stretches = arrivals.flatMap(({submission: {job, request}, duration}) => {
		const startedAt = starts.get(job);
		const completedAt = completions.get(job);
		return request.steps[0]?.isGang === true && request.steps[0].count > 1 && startedAt !== undefined && completedAt !== undefined ? [(completedAt - startedAt) / duration] : [];
	});
	return stretches.reduce((total, stretch) => total + stretch, 0) / Math.max(1, stretches.length);
}

function createDurations(): Record<SchedulerMessage['kind'], Milliseconds[]> {
	return {
		configured: [], loaded: [], submitted: [], cancelled: [], renewed: [], 'incarnation-ended': [], detached: [], 'start-answered': [], 'stop-answered': [], stored: [], tick: [],
		'lease-confirmed': [], 'zones-observed': [], pass: [],
	};
}

function measureWork({duration, submission}: ArrivingJob): number {
	return submission.request.steps.reduce((total, step) => total + (step.count * duration * ((step.processorMillicores / 1000) + (8 * step.accelerators)) / 1000), 0);
}
