import type {Milliseconds, MonotonicTime} from '#core';
import {
	decideAdmission, estimateRecordBytes, estimateTaskBytes, type JobAdmission, type JobKey, type JobSubmission, type MemoryUse,
} from '#jobs';
import {createServiceKey} from '#kernel';
import type {SharedMemoryUse} from '#protocol';
import {measureMemoryUse, type SchedulerMemoryUse} from '#scheduling';
import {
	acceptanceVisibleMilliseconds, admissionRetentionMilliseconds, maximumSharedTenants, memoryUseValidityMilliseconds,
} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';
import {forecastService} from './forecast.js';
import {schedulerService} from './scheduler.js';

/** Decides which jobs this entry accepts, by the memory that the scheduler needs for all of them and the forecast of their starts. */
export type Admission = Readonly<{
	/** An admitted job counts from now on, whether its submission succeeds or not, until the scheduler's report would include it. */
	request(submission: JobSubmission): JobAdmission | LateJob;
	/** What `request` would decide now by memory; the job does not count. */
	preview(submission: JobSubmission): JobAdmission;
	/** What this entry's scheduler needs; undefined if it does not schedule. */
	describe(): SharedMemoryUse | undefined;
	/** Takes over what the scheduler of another entry reports. */
	observe(use: SharedMemoryUse): void;
}>;

export const admissionService = createServiceKey<Admission>('admission');

/** There is memory for the job, and it would end too late to earn anything. */
export type LateJob = Readonly<{kind: 'too-late'; retryAfterMilliseconds: Milliseconds}>;

/** What a scheduler needed at a time. */
type KnownUse = Readonly<{use: SchedulerMemoryUse; at: MonotonicTime}>;
/** A job that was admitted and is not part of what is known. */
type AdmittedJob = Readonly<{job: JobKey; tenant: string; bytes: number; at: MonotonicTime}>;

coordinatorPlugins.register({
	kind: 'task',
	name: 'admission',
	start({services, clock}) {
		let known: KnownUse | undefined;
		let admitted: readonly AdmittedJob[] = [];

		const update = (use: SchedulerMemoryUse, isIncluded: (job: AdmittedJob) => boolean) => {
			known = {use, at: clock.monotonic()};
			admitted = admitted.filter(job => !isIncluded(job) && clock.monotonic() - job.at < admissionRetentionMilliseconds);
		};

		/** Measures the own scheduler, which receives a job with its acceptance. */
		const measureOwn = () => {
			const state = services.use(schedulerService).read();
			if (state?.isLoaded === true && (known === undefined || clock.monotonic() - known.at >= memoryUseValidityMilliseconds)) {
				update(measureMemoryUse(state, clock.monotonic()), ({job}) => state.jobs.has(job));
			}

			return state?.isLoaded === true;
		};

		/** Sums up what a tenant and all tenants need, with the jobs that were admitted since. */
		const addAdmitted = (tenant: string, jobs: readonly AdmittedJob[]): MemoryUse => {
			const sum = (counted: readonly AdmittedJob[]) => counted.reduce((total, {bytes}) => total + bytes, 0);
			return {
				total: (known?.use.total ?? 0) + sum(jobs),
				tenant: (known?.use.tenants.get(tenant) ?? 0) + sum(jobs.filter(job => job.tenant === tenant)),
				freedPerSecond: known?.use.freedPerSecond ?? 0,
			};
		};

		/** Decides by memory. Some of the admitted jobs may be part of what is known already, or were not stored. */
		const decide = (bytes: number, tenant: string): JobAdmission => {
			const decision = decideAdmission(bytes, addAdmitted(tenant, admitted));
			return decision.kind === 'refused' && decideAdmission(bytes, addAdmitted(tenant, [])).kind === 'admitted'
				? {kind: 'refused', retryAfterMilliseconds: acceptanceVisibleMilliseconds}
				: decision;
		};

		const estimateBytes = ({request}: JobSubmission) => estimateRecordBytes(request) + estimateTaskBytes(request);

		services.provide(admissionService, {
			request(submission) {
				const {job, tenant = ''} = submission;
				measureOwn();
				// A retry takes the place of the earlier attempt.
				admitted = admitted.filter(earlier => earlier.job !== job);
				const bytes = estimateBytes(submission);
				const decision = decide(bytes, tenant);
				if (decision.kind === 'admitted') {
					const forecast = services.use(forecastService).request(submission);
					if (forecast.kind === 'refuse') {
						return {kind: 'too-late', retryAfterMilliseconds: forecast.retryAfterMilliseconds};
					}

					admitted = [...admitted, {
						job, tenant, bytes, at: clock.monotonic(),
					}];
				}

				return decision;
			},
			preview(submission) {
				measureOwn();
				return decide(estimateBytes(submission), submission.tenant ?? '');
			},
			describe() {
				if (!measureOwn() || known === undefined) {
					return undefined;
				}

				const {total, tenants, freedPerSecond} = known.use;
				const largest = [...tenants].toSorted(([, first], [, second]) => second - first).slice(0, maximumSharedTenants);
				return {total, freedPerSecond, tenants: largest.map(([name, bytes]) => ({name, bytes}))};
			},
			observe({total, freedPerSecond, tenants}) {
				const visibleSince = clock.monotonic() - acceptanceVisibleMilliseconds;
				update({total, freedPerSecond, tenants: new Map(tenants.map(({name, bytes}) => [name, bytes]))}, ({at}) => at <= visibleSince);
			},
		});
		return () => undefined;
	},
});
