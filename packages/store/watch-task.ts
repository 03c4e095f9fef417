import type {Milliseconds, RandomSource} from '#core';
import {startTask, type Clock} from '#kernel';
import {watchWaitMilliseconds} from './constants.js';
import type {KeyValueStore} from './types.js';
import {
	initialWatchState, receiveWatchMessage, type Observation, type WatchEffect, type WatchMessage, type WatchState,
} from './watch.js';

/** Handle of a watch that runs as a task. */
export type WatchHandle = Readonly<{
	/** Whether the keys were listed and the last call succeeded. */
	isSynchronized(): boolean;
	stop(): void;
}>;

export type WatchTaskOptions = Readonly<{
	store: KeyValueStore;
	clock: Clock;
	random: RandomSource;
	prefix: string;
	/** Long-poll duration of one call. A dead connection is detected only after it. */
	wait?: Milliseconds;
	maximumBackoff?: Milliseconds;
	onObserved(observation: Observation): void;
	onFailure(message: string, failures: number): void;
}>;

/**
Starts a task that lists the keys under a prefix and then watches them. It lists them again after events were lost.

@example
```
const watch = startWatchTask({store, clock, random, prefix: 'layout/', onObserved, onFailure});
```
*/
export function startWatchTask(options: WatchTaskOptions): WatchHandle {
	const {store, clock, random, prefix, wait = watchWaitMilliseconds, maximumBackoff} = options;
	const perform = async (effect: WatchEffect, send: (message: WatchMessage) => void) => {
		switch (effect.kind) {
			case 'list': {
				send({kind: 'replied', reply: await store.list(prefix)});
				break;
			}

			case 'watch': {
				send({kind: 'replied', reply: await store.watch(prefix, effect.after, wait)});
				break;
			}

			case 'observe': {
				options.onObserved(effect.observation);
				break;
			}

			case 'report-failure': {
				options.onFailure(effect.message, effect.failures);
				break;
			}

			case 'schedule': {
				clock.schedule(effect.delay, () => {
					send({kind: 'due'});
				});
			}
		}
	};

	const task = startTask<WatchState, WatchMessage, WatchEffect>({
		name: `watch ${prefix}`,
		initialState: initialWatchState,
		receive: (state, message) => receiveWatchMessage(state, message, random, maximumBackoff),
	}, {
		clock,
		perform(effect, send) {
			void perform(effect, send);
		},
	});
	task.send({kind: 'due'});
	return {
		isSynchronized: () => task.read().failures === 0 && task.read().revision !== undefined,
		stop() {
			task.send({kind: 'stop'});
		},
	};
}
