import type {Milliseconds, MonotonicTime} from '#core';
import {createServiceKey} from '#kernel';
import {coordinatorPlugins} from '../plugins.js';

/** A submission whose outcome is unknown, and the time since its last attempt. */
export type UndecidedSubmission = Readonly<{path: string; age: Milliseconds}>;

/**
Submissions whose outcome is unknown. A refusal says that a job never runs, so none of these may be refused before the store was read back.
*/
export type UndecidedSubmissions = Readonly<{
	add(submission: UndecidedSubmission): void;
	has(path: string): boolean;
	/** Lists them for the other entries, some of which this one alone may reach. */
	list(): readonly UndecidedSubmission[];
}>;

export const undecidedService = createServiceKey<UndecidedSubmissions>('undecided');

/** How long a submission counts as undecided after its last attempt. Callers time out long before, and a write without a reply is applied within seconds if at all. */
const retentionMilliseconds = 30_000;

coordinatorPlugins.register({
	kind: 'task',
	name: 'undecided',
	start({services, clock}) {
		const attemptedAt = new Map<string, MonotonicTime>();
		const removeExpired = () => {
			for (const [path, time] of attemptedAt) {
				if (clock.monotonic() - time > retentionMilliseconds) {
					attemptedAt.delete(path);
				}
			}
		};

		services.provide(undecidedService, {
			add({path, age}) {
				if (age <= retentionMilliseconds) {
					attemptedAt.set(path, Math.max(attemptedAt.get(path) ?? -Infinity, clock.monotonic() - age));
				}
			},
			has(path) {
				removeExpired();
				return attemptedAt.has(path);
			},
			list() {
				removeExpired();
				return [...attemptedAt].map(([path, time]) => ({path, age: clock.monotonic() - time}));
			},
		});
		return () => {
			attemptedAt.clear();
		};
	},
});
