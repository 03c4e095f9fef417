import type {Milliseconds, MonotonicTime} from '#core';
import {
	decideAdmission, estimateRecordBytes, estimateTaskBytes, type JobAdmission, type JobSubmission,
} from '#jobs';
import {createServiceKey} from '#kernel';
import type {SharedMemoryUse} from '#protocol';
import {measureMemoryUse, type SchedulerMemoryUse} from '#scheduling';
import {
	acceptanceVisibleMilliseconds, maximumSharedTenants, memoryUseValidityMilliseconds,
} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';
import {schedulerService} from './scheduler.js';

/** Decides which jobs this entry accepts, by the memory that the scheduler needs for all of them. */
export type Admission = Readonly<{
	decide(submission: JobSubmission): JobAdmission;
	/** Counts a job that was accepted until the scheduler's report includes it. */
	accept(submission: JobSubmission): void;
	/** What this entry's scheduler needs; undefined if it does not schedule. */
	describe(): SharedMemoryUse | undefined;
	/** Takes over what the scheduler of another entry reports. */
	observe(use: SharedMemoryUse): void;
}>;

export const admissionService = createServiceKey<Admission>('admission');

/** What a scheduler needed at a time; jobs that this entry accepted since then come on top. */
type KnownUse = Readonly<{use: SchedulerMemoryUse; at: MonotonicTime; includesSince: MonotonicTime}>;
type Acceptance = Readonly<{tenant: string; bytes: number; at: MonotonicTime}>;

coordinatorPlugins.register({
	kind: 'task',
	name: 'admission',
	start({services, clock}) {
		let known: KnownUse | undefined;
		let acceptances: readonly Acceptance[] = [];

		/** The own scheduler receives a job with its acceptance. */
		const measureOwn = (maximumAge: Milliseconds): KnownUse | undefined => {
			const state = services.use(schedulerService).read();
			const now = clock.monotonic();
			if (state?.isLoaded === true && (known === undefined || now - known.at >= maximumAge)) {
				known = {use: measureMemoryUse(state, now), at: now, includesSince: now};
			}

			return known;
		};

		services.provide(admissionService, {
			decide({tenant = '', request}) {
				const current = measureOwn(memoryUseValidityMilliseconds);
				acceptances = acceptances.filter(({at}) => at > (current?.includesSince ?? clock.monotonic() - acceptanceVisibleMilliseconds));
				const sum = (counted: readonly Acceptance[]) => counted.reduce((total, {bytes}) => total + bytes, 0);
				return decideAdmission(estimateRecordBytes(request) + estimateTaskBytes(request), {
					total: (current?.use.total ?? 0) + sum(acceptances),
					tenant: (current?.use.tenants.get(tenant) ?? 0) + sum(acceptances.filter(accepted => accepted.tenant === tenant)),
					freedPerSecond: current?.use.freedPerSecond ?? 0,
				});
			},
			accept({tenant = '', request}) {
				acceptances = [...acceptances, {tenant, bytes: estimateRecordBytes(request) + estimateTaskBytes(request), at: clock.monotonic()}];
			},
			describe() {
				const state = services.use(schedulerService).read();
				if (state?.isLoaded !== true) {
					return undefined;
				}

				const {total, tenants, freedPerSecond} = measureOwn(memoryUseValidityMilliseconds)?.use ?? measureMemoryUse(state, clock.monotonic());
				const largest = [...tenants].toSorted(([, first], [, second]) => second - first).slice(0, maximumSharedTenants);
				return {total, freedPerSecond, tenants: largest.map(([name, bytes]) => ({name, bytes}))};
			},
			observe({total, freedPerSecond, tenants}) {
				const now = clock.monotonic();
				known = {use: {total, freedPerSecond, tenants: new Map(tenants.map(({name, bytes}) => [name, bytes]))}, at: now, includesSince: now - acceptanceVisibleMilliseconds};
			},
		});
		return () => undefined;
	},
});
