import {assertNever, type MonotonicTime} from '#core';
import {
	addAdmittedJobs, createForecast, decideByForecast, estimateJob, measureBacklog, receiveForecast, shareForecast, trackEstimates,
	type Forecast, type ForecastDecision, type JobEstimate, type SharedForecast, type TrackedEstimates,
} from '#forecast';
import type {JobSubmission} from '#jobs';
import {createServiceKey} from '#kernel';
import {describeLoad, observeStarts, type SchedulerState} from '#scheduling';
import {chooseForecastDelay} from '../forecast-delay.js';
import {coordinatorPlugins} from '../plugins.js';
import type {CoordinatorContext} from '../types.js';
import {schedulerService} from './scheduler.js';

/** Forecasts when jobs would start: measured by the scheduler's entry, reported to the others. */
export type JobForecasts = Readonly<{
	/** Decides about a job. One that is not refused counts from now on, until the next forecast. */
	request(submission: JobSubmission): ForecastDecision;
	/** What `request` would decide now, with the estimate of a job that is on time; the job does not count. */
	preview(submission: JobSubmission): ForecastPreview;
	/** The forecast of this entry's scheduler; undefined if it does not schedule or cannot say. */
	describe(): SharedForecast | undefined;
	/** Takes over the forecast of another entry's scheduler. */
	observe(forecast: SharedForecast): void;
}>;

/** The estimate is absent if nothing is estimated for such a job. */
export type ForecastPreview = Readonly<{decision: ForecastDecision; estimate: JobEstimate | undefined}>;

export const forecastService = createServiceKey<JobForecasts>('forecast');

type AdmittedJob = Readonly<{submission: JobSubmission; at: MonotonicTime}>;
/** What an entry that schedules remembers between its forecasts. */
type OwnTerm = Readonly<{epoch: number; forecast: Forecast | undefined; jobs: SchedulerState['jobs']; tracked: TrackedEstimates}>;

coordinatorPlugins.register({
	kind: 'task',
	name: 'forecast',
	start(context) {
		const {services, clock} = context;
		let isStopped = false;
		let known: Forecast | undefined;
		let own: OwnTerm | undefined;
		let admitted: readonly AdmittedJob[] = [];

		const update = (forecast: Forecast) => {
			known = forecast;
			// Jobs that were admitted earlier are part of the forecast, or were not stored.
			admitted = admitted.filter(({at}) => at >= forecast.at);
		};

		/** Describes the load of the own scheduler. It runs between the scheduler's messages, not within a pass. */
		const measureOwn = () => {
			const state = services.use(schedulerService).read();
			if (state?.isLoaded !== true) {
				own = undefined;
				return;
			}

			const time = {now: clock.now(), monotonic: clock.monotonic()};
			const earlier = own?.epoch === state.epoch ? own : undefined;
			const load = describeLoad(state, time);
			const forecast = load === undefined ? undefined : createForecast(load, time.monotonic);
			const estimates: TrackedEstimates = earlier?.tracked ?? new Map();
			const observed = observeStarts(state, earlier?.jobs ?? state.jobs, estimates.keys(), time.monotonic);
			const {tracked, errors} = trackEstimates(estimates, observed, earlier?.forecast);
			own = {
				epoch: state.epoch, forecast, jobs: state.jobs, tracked,
			};
			reportErrors(errors, context);
			if (forecast !== undefined) {
				update(forecast);
				context.counters.setGauge('backlog-milliseconds', Math.max(0, ...forecast.pools.map(pool => Math.round(measureBacklog(pool)))));
			}
		};

		const tick = () => {
			if (isStopped) {
				return;
			}

			const startedAt = clock.monotonic();
			try {
				measureOwn();
			} catch (error) {
				// Without a forecast memory alone decides; the next attempt follows after the usual interval.
				own = undefined;
				context.counters.countEvent('unexpected-error');
				context.log.withPrefix('forecast').error({error: error instanceof Error ? error.stack : String(error)}, 'the load could not be forecast');
			}

			const duration = clock.monotonic() - startedAt;
			if (own !== undefined) {
				context.counters.recordLatency('forecast', duration);
			}

			clock.schedule(chooseForecastDelay(duration), tick);
		};

		const decide = (submission: JobSubmission, now: MonotonicTime) => {
			const forecast = known === undefined ? undefined : addAdmittedJobs(known, admitted.map(earlier => earlier.submission));
			return {forecast, decision: applySetting(decideByForecast(forecast, submission, now), context)};
		};

		services.provide(forecastService, {
			request(submission) {
				const now = clock.monotonic();
				// A retry takes the place of the earlier attempt.
				admitted = admitted.filter(earlier => earlier.submission.job !== submission.job);
				const {decision} = decide(submission, now);
				if (decision.kind !== 'refuse') {
					admitted = [...admitted, {submission, at: now}];
				}

				logDecision(decision, submission, context);
				return decision;
			},
			preview(submission) {
				const {forecast, decision} = decide(submission, clock.monotonic());
				const isOnTime = decision.kind === 'accept' && decision.reason === 'on-time';
				return {decision, estimate: decision.kind === 'accept' ? (isOnTime && forecast !== undefined ? estimateJob(forecast, submission) : undefined) : decision.estimate};
			},
			describe() {
				return own?.forecast === undefined || services.use(schedulerService).read()?.epoch !== own.epoch ? undefined : shareForecast(own.forecast, clock.monotonic());
			},
			observe(shared) {
				// The scheduler's own view is newer than what others heard of it.
				if (own === undefined) {
					update(receiveForecast(shared, clock.monotonic()));
				}
			},
		});
		tick();
		return () => {
			isStopped = true;
		};
	},
});

/** Operators may switch refusals off; such a job waits. */
function applySetting(decision: ForecastDecision, {settings}: CoordinatorContext): ForecastDecision {
	return decision.kind === 'refuse' && settings['refuse-by-forecast'] === 'off' ? {kind: 'wait', reason: 'late', estimate: decision.estimate} : decision;
}

function reportErrors(errors: ReturnType<typeof trackEstimates>['errors'], {counters, log}: CoordinatorContext): void {
	for (const {job, estimated, actual} of errors) {
		counters.recordLatency(actual > estimated ? 'start-underestimated' : 'start-overestimated', Math.abs(actual - estimated));
		log.withPrefix('forecast').debug({job, estimatedMilliseconds: Math.round(estimated), actualMilliseconds: Math.round(actual)}, 'first start compared with its estimate');
	}
}

function logDecision(decision: ForecastDecision, {job, queue, tenant}: JobSubmission, {counters, log}: CoordinatorContext): void {
	switch (decision.kind) {
		case 'accept': {
			break;
		}

		case 'wait': {
			counters.countEvent(`forecast-wait-${decision.reason}`);
			log.withPrefix('forecast').debug({
				job, queue: queue.name, tenant, reason: decision.reason, ...decision.estimate,
			}, 'job is expected to start late');
			break;
		}

		case 'refuse': {
			log.withPrefix('forecast').info({
				job, queue: queue.name, tenant, reason: decision.reason, retryAfterMilliseconds: decision.retryAfterMilliseconds, ...decision.estimate,
			}, 'job would end too late');
			break;
		}

		default: {
			assertNever(decision);
		}
	}
}
