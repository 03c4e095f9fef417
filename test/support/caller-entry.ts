/** An entry that submits and cancels jobs in a store in virtual time; its process may be paused. */
import {
	cancelJob, coordinatorPlugins, schedulerService, storeMonitorService, storePort, submitJob, type CoordinatorContext,
} from '#coordinator';
import type {JobSubmission} from '#jobs';
import {
	createCounters, createServices, silentLog, sleep, type VirtualClock,
} from '#kernel';
import type {CallerAnswer} from '#protocol';
import type {UnreliableStore} from './unreliable-store.js';
import '../../packages/coordinator/plugins/index.js';

export type CallerEntry = Readonly<{
	context: CoordinatorContext;
	submit(submission: JobSubmission): Promise<CallerAnswer>;
	cancel(submission: JobSubmission): Promise<CallerAnswer>;
	/** Until the given time, no answer of the store is handed over. */
	pause(until: number): void;
}>;

/** How long the entry processes a call. */
const processingMilliseconds = 2200;

export function startCallerEntry(clock: VirtualClock, unreliable: UnreliableStore): CallerEntry {
	let pausedUntil = 0;
	const services = createServices();
	const context = {
		services, clock, counters: createCounters(), log: silentLog,
	} as unknown as CoordinatorContext;
	services.provide(storePort, unreliable.connect({
		latency: 2,
		timeout: 900,
		isReachable: () => true,
		async deliver(reply) {
			await sleep(clock, Math.max(0, pausedUntil - clock.monotonic()));
			return reply;
		},
	}));
	services.provide(storeMonitorService, {isFailing: () => false, measureOutage: () => 0});
	services.provide(schedulerService, {
		beginTerm: () => undefined, endTerm: () => undefined, send: () => undefined, read: () => undefined,
	});
	coordinatorPlugins.tasks().find(({name}) => name === 'withdrawals')?.start(context);
	return {
		context,
		submit: async submission => submitJob(submission, clock.monotonic() + processingMilliseconds, context),
		cancel: async ({job}) => cancelJob(job, clock.monotonic() + processingMilliseconds, context),
		pause(until) {
			pausedUntil = until;
		},
	};
}
