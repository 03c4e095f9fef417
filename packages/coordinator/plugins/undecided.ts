import type {Milliseconds, MonotonicTime} from '#core';
import {createServiceKey} from '#kernel';
import {coordinatorPlugins} from '../plugins.js';

/** A submission whose outcome is unknown, and the time since its last attempt. */
export type UndecidedSubmission = Readonly<{path: string; age: Milliseconds}>;

/** What an entry knows of undecided submissions. If the list was cut, any other submission may be undecided as well; `age` is the time since the last one was left out. */
export type UndecidedList =
	| Readonly<{kind: 'whole'; submissions: readonly UndecidedSubmission[]}>
	| Readonly<{kind: 'cut'; submissions: readonly UndecidedSubmission[]; age: Milliseconds}>;

/**
Submissions whose outcome is unknown. A refusal says that a job never runs, so none of these may be refused before the store was read back.
*/
export type UndecidedSubmissions = Readonly<{
	add(submission: UndecidedSubmission): void;
	/** Takes over what another entry lists. */
	addAll(list: UndecidedList): void;
	/** Whether the submission is or may be undecided. */
	has(path: string): boolean;
	/** Lists them for the other entries, some of which this one alone may reach. */
	list(): UndecidedList;
}>;

export const undecidedService = createServiceKey<UndecidedSubmissions>('undecided');

/** How long a submission counts as undecided after its last attempt. Callers time out long before, and a write without a reply is applied within seconds if at all. */
const retentionMilliseconds = 30_000;

/** Length of all paths that are kept, and sent with each exchange between entries: some 4,000 submissions. */
const maximumCharacters = 200_000;

coordinatorPlugins.register({
	kind: 'task',
	name: 'undecided',
	start({services, clock}) {
		const attemptedAt = new Map<string, MonotonicTime>();
		let characters = 0;
		/** When the last submission was left out. */
		let cutAt: MonotonicTime = -Infinity;
		const isRecent = (time: MonotonicTime) => clock.monotonic() - time <= retentionMilliseconds;
		const removeExpired = () => {
			for (const [path, time] of attemptedAt) {
				if (!isRecent(time)) {
					attemptedAt.delete(path);
					characters -= path.length;
				}
			}
		};

		const add = ({path, age}: UndecidedSubmission) => {
			const time = clock.monotonic() - age;
			const earlier = attemptedAt.get(path);
			if (!isRecent(time)) {
				return;
			}

			if (earlier === undefined && characters + path.length > maximumCharacters) {
				cutAt = Math.max(cutAt, time);
				return;
			}

			characters += earlier === undefined ? path.length : 0;
			attemptedAt.set(path, Math.max(earlier ?? -Infinity, time));
		};

		services.provide(undecidedService, {
			add(submission) {
				removeExpired();
				add(submission);
			},
			addAll(list) {
				removeExpired();
				for (const submission of list.submissions) {
					add(submission);
				}

				cutAt = list.kind === 'cut' ? Math.max(cutAt, clock.monotonic() - list.age) : cutAt;
			},
			has(path) {
				removeExpired();
				return attemptedAt.has(path) || isRecent(cutAt);
			},
			list() {
				removeExpired();
				const submissions = [...attemptedAt].map(([path, time]) => ({path, age: clock.monotonic() - time}));
				return isRecent(cutAt) ? {kind: 'cut', submissions, age: clock.monotonic() - cutAt} : {kind: 'whole', submissions};
			},
		});
		return () => {
			attemptedAt.clear();
			characters = 0;
		};
	},
});
