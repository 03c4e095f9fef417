import type {MonotonicTime} from '#core';
import {createServiceKey} from '#kernel';
import {coordinatorPlugins} from '../plugins.js';

/**
Submissions whose outcome is unknown. A refusal says that a job never runs, so none of these may be refused before the store was read back.
*/
export type UndecidedSubmissions = Readonly<{
	add(path: string): void;
	has(path: string): boolean;
	list(): readonly string[];
}>;

export const undecidedService = createServiceKey<UndecidedSubmissions>('undecided');

/** How long a submission counts as undecided. Callers time out long before, and a write without a reply is applied within seconds if at all. */
const retentionMilliseconds = 30_000;

coordinatorPlugins.register({
	kind: 'task',
	name: 'undecided',
	start({services, clock}) {
		const addedAt = new Map<string, MonotonicTime>();
		const removeExpired = () => {
			for (const [path, time] of addedAt) {
				if (clock.monotonic() - time > retentionMilliseconds) {
					addedAt.delete(path);
				}
			}
		};

		services.provide(undecidedService, {
			add(path) {
				removeExpired();
				if (!addedAt.has(path)) {
					addedAt.set(path, clock.monotonic());
				}
			},
			has: path => addedAt.has(path),
			list() {
				removeExpired();
				return [...addedAt.keys()];
			},
		});
		return () => undefined;
	},
});
