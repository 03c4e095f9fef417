import type {Milliseconds, MonotonicTime} from '#core';
import {
	createServiceKey, startTask, type Cancel, type TaskHandle,
} from '#kernel';
import {countBeliefs} from '#pace';
import {
	countOpenTasks, countPending, countRunsInClosedZones, createSchedulerState, defaultPolicy, receiveSchedulerMessage, type SchedulerEffect, type SchedulerMessage, type SchedulerState,
} from '#scheduling';
import {overloadDelayMilliseconds} from '../constants.js';
import {startJobWatch} from '../job-watch.js';
import {sendStarts, sendStops} from '../orders.js';
import {peerAddressOf} from '../peer-address.js';
import {createPassTimer} from '../pass-timer.js';
import {coordinatorPlugins} from '../plugins.js';
import {startProgressWriter, type ProgressWriter} from '../progress-writer.js';
import {chooseTickDelay} from '../tick-delay.js';
import type {CoordinatorContext} from '../types.js';
import {createRefusalRecords, type RefusalRecords} from '../refusal-records.js';
import {createWorkersRecord, type WorkersRecord} from '../workers-record.js';
import {agentsService} from './agents.js';
import {configurationService} from './configuration.js';
import {findConfirmedLeaseEnd} from './leadership.js';
import {zonesService} from './zones.js';

/** Scheduler of this entry; its state exists only during the entry's terms. */
export type Scheduler = Readonly<{
	beginTerm(epoch: number, leaderVersion: number): void;
	endTerm(): void;
	/** Messages outside a term are dropped: the next scheduler receives the same facts from the store and the workers. */
	send(message: SchedulerMessage): void;
	read(): SchedulerState | undefined;
}>;

export const schedulerService = createServiceKey<Scheduler>('scheduler');

/** State and tasks that exist for one term. */
export type Term = Readonly<{
	epoch: number;
	leaderVersion: number;
	task: TaskHandle<SchedulerState, SchedulerMessage>;
	progressWriter: ProgressWriter;
	workersRecord: WorkersRecord;
	refusalRecords: RefusalRecords;
	isOver(): boolean;
}>;

coordinatorPlugins.register({
	kind: 'task',
	name: 'scheduler',
	start(context) {
		let active: Readonly<{term: Term; stop: Cancel}> | undefined;
		const endActiveTerm = () => {
			active?.stop();
			active = undefined;
		};

		context.services.provide(schedulerService, {
			beginTerm(epoch, leaderVersion) {
				endActiveTerm();
				active = startTerm(epoch, leaderVersion, context);
			},
			endTerm: endActiveTerm,
			send(message) {
				active?.term.task.send(message);
			},
			read: () => active?.term.task.read(),
		});
		return endActiveTerm;
	},
});

function startTerm(epoch: number, leaderVersion: number, context: CoordinatorContext): Readonly<{term: Term; stop: Cancel}> {
	const {clock, services} = context;
	let isOver = false;
	const isTermOver = () => isOver;
	const passes = createPassTimer(context, () => {
		if (!isOver) {
			task.send({kind: 'pass'});
		}
	});
	const task = startTask<SchedulerState, SchedulerMessage, SchedulerEffect>(
		{name: 'scheduler', initialState: createSchedulerState(epoch, {...defaultPolicy, keepApart: context.settings['keep-apart']}), receive: receiveSchedulerMessage},
		{
			clock,
			perform(effect) {
				if (isOver) {
					return;
				}

				if (effect.kind === 'request-pass') {
					passes.request();
				} else {
					performEffect(effect, term, context);
				}
			},
		},
	);
	const termBase = {
		epoch, leaderVersion, task, isOver: isTermOver,
	};
	const term: Term = {
		...termBase,
		progressWriter: startProgressWriter(termBase, context),
		workersRecord: createWorkersRecord(termBase, context),
		refusalRecords: createRefusalRecords(termBase, context),
	};

	const configuration = services.use(configurationService);
	const sendConfiguration = () => {
		const {current} = configuration.read();
		if (current !== undefined) {
			task.send({kind: 'configured', configuration: current});
		}
	};

	sendConfiguration();
	const cancelSubscription = configuration.subscribe(sendConfiguration);
	const zones = services.use(zonesService);
	const sendZones = () => {
		// Every exchange with another entry reaches the task of the zones, and few change the list.
		if (zones.read().revision > task.read().closedZones.revision) {
			task.send({kind: 'zones-observed', zones: zones.read()});
		}
	};

	sendZones();
	const cancelZonesSubscription = zones.subscribe(sendZones);
	const stopWatch = startJobWatch(term, context);
	services.use(agentsService).announceScheduler({address: peerAddressOf(context.settings), epoch});
	const tick = (dueAt: MonotonicTime) => {
		if (!isOver) {
			reportDelay(clock.monotonic() - dueAt, task.read(), context);
			task.send({kind: 'lease-confirmed', until: findConfirmedLeaseEnd(context)});
			task.send({kind: 'tick'});
			// A pass that failed with an unexpected error has not requested the next one.
			if (task.read().isScheduleDue) {
				passes.request();
			}

			term.workersRecord.prune();
			term.refusalRecords.prune();
			updateGauges(task.read(), context);
			const delay = chooseTickDelay(task.read(), clock.monotonic());
			const nextAt = clock.monotonic() + delay;
			clock.schedule(delay, () => {
				tick(nextAt);
			});
		}
	};

	tick(clock.monotonic());
	return {
		term,
		stop() {
			isOver = true;
			cancelSubscription();
			cancelZonesSubscription();
			context.counters.setGauge('runs-in-closed-zones', 0);
			stopWatch();
			task.stop();
		},
	};
}

/** Reports how late the scheduler handles its ticks; renewals and callers wait as long. */
function reportDelay(delay: Milliseconds, {jobs, workers}: SchedulerState, {counters, log}: CoordinatorContext): void {
	counters.recordLatency('scheduler-delay', Math.max(0, delay));
	if (delay > overloadDelayMilliseconds) {
		counters.countEvent('scheduler-overloaded');
		log.withPrefix('scheduler').warn({delayMilliseconds: Math.round(delay), jobs: jobs.size, workers: workers.size}, 'scheduler is overloaded');
	}
}

function updateGauges(state: SchedulerState, {counters}: CoordinatorContext): void {
	const usable = [...state.workers.values()].filter(({contact, snapshot}) => contact === 'attached' && snapshot.isResponsive && snapshot.state === 'ready');
	counters.setGauge('usable-workers', usable.length);
	counters.setGauge('open-tasks', countOpenTasks(state));
	counters.setGauge('unread-workers', state.unread.size);
	counters.setGauge('runs-in-closed-zones', countRunsInClosedZones(state));
	const beliefs = countBeliefs(state.pace.beliefs);
	counters.setGauge('known-worker-speeds', beliefs.speeds);
	counters.setGauge('slow-workers', beliefs.slowWorkers);
	counters.setGauge('interference-beliefs', beliefs.interference);
	counters.setGauge('jobs-waiting', [...countPending(state).values()].reduce((total, count) => total + count, 0));
}

function performEffect(effect: Exclude<SchedulerEffect, Readonly<{kind: 'request-pass'}>>, term: Term, context: CoordinatorContext): void {
	switch (effect.kind) {
		case 'start': {
			void sendStarts(effect, term, context);
			break;
		}

		case 'stop': {
			void sendStops(effect, term, context);
			break;
		}

		case 'store-progress': {
			term.progressWriter.store(effect.job);
			break;
		}

		// The agent renews at once after this call, and the answer to the renewal carries the acknowledgement.
		case 'acknowledge': {
			void context.services.use(agentsService).find(effect.agent)?.call('worker.lead', {address: peerAddressOf(context.settings), epoch: term.epoch}, acknowledgeTimeoutMilliseconds);
			break;
		}

		case 'remove-records': {
			term.progressWriter.remove(effect.job, effect.keyVersion);
			break;
		}

		case 'log': {
			context.counters.countEvent(effect.event);
			countLoss(effect.fields, context);
			context.log.withPrefix('scheduler').info({epoch: term.epoch, ...effect.fields}, describeEvent(effect.event));
		}
	}
}

/** Counts lost work in core-seconds, by reason: `lost-core-seconds-preempted`. */
function countLoss({lossReason, lossCoreSeconds}: Readonly<Record<string, unknown>>, {counters}: CoordinatorContext): void {
	if (typeof lossReason === 'string' && typeof lossCoreSeconds === 'number' && lossCoreSeconds > 0) {
		counters.countEvent(`lost-core-seconds-${lossReason}`, lossCoreSeconds);
	}
}

/** Timeout of the call that makes an agent renew at once. */
const acknowledgeTimeoutMilliseconds = 1000;

/** Turns an event name into a log message: `stop-ordered` becomes `stop ordered`. */
function describeEvent(event: string): string {
	return event.replaceAll('-', ' ');
}

