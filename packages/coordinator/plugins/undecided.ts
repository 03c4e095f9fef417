import type {MonotonicTime} from '#core';
import {createServiceKey} from '#kernel';
import {coordinatorPlugins} from '../plugins.js';

/**
Submissions whose outcome is unknown. A refusal says that a job never runs, so none of these may be refused before the store was asked.
*/
export type UndecidedSubmissions = Readonly<{
	add(path: string): void;
	has(path: string): boolean;
	list(): readonly string[];
}>;

export const undecidedService = createServiceKey<UndecidedSubmissions>('undecided');

/** Callers give up long before; a write without an answer is carried out within seconds. */
const memoryMilliseconds = 30_000;

coordinatorPlugins.register({
	kind: 'task',
	name: 'undecided',
	start({services, clock}) {
		const notedAt = new Map<string, MonotonicTime>();
		const forget = () => {
			for (const [path, time] of notedAt) {
				if (clock.monotonic() - time > memoryMilliseconds) {
					notedAt.delete(path);
				}
			}
		};

		services.provide(undecidedService, {
			add(path) {
				forget();
				if (!notedAt.has(path)) {
					notedAt.set(path, clock.monotonic());
				}
			},
			has: path => notedAt.has(path),
			list() {
				forget();
				return [...notedAt.keys()];
			},
		});
		return () => undefined;
	},
});
