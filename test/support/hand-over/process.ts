/** A process that may be frozen or killed; all that reaches it, timers included, passes through `run`. */
import type {Clock} from '#kernel';

export type SimulatedProcess = Readonly<{
	/** Clock whose timers run only while the process does. */
	clock: Clock;
	/** Runs the callback now, after the process continues, or never if it was killed. */
	run(callback: () => void): void;
	/** Resolves with the value once the process runs. */
	deliver<Value>(value: Value): Promise<Value>;
	freeze(): void;
	resume(): void;
	kill(): void;
	isFrozen(): boolean;
	isKilled(): boolean;
	/** Calls the listener when the process is killed. */
	onKilled(listener: () => void): void;
}>;

export function createProcess(clock: Clock): SimulatedProcess {
	let isFrozen = false;
	let isKilled = false;
	let held: ReadonlyArray<() => void> = [];
	const killListeners: Array<() => void> = [];
	const run = (callback: () => void) => {
		if (isFrozen && !isKilled) {
			held = [...held, callback];
		} else if (!isKilled) {
			callback();
		}
	};

	return {
		clock: {
			...clock,
			schedule: (delay, callback) => clock.schedule(delay, () => {
				run(callback);
			}),
		},
		run,
		async deliver(value) {
			return new Promise(resolve => {
				run(() => {
					resolve(value);
				});
			});
		},
		freeze() {
			isFrozen = true;
		},
		resume() {
			isFrozen = false;
			const due = held;
			held = [];
			for (const callback of due) {
				clock.schedule(0, () => {
					run(callback);
				});
			}
		},
		kill() {
			isKilled = true;
			held = [];
			for (const listener of killListeners) {
				listener();
			}
		},
		isFrozen: () => isFrozen,
		isKilled: () => isKilled,
		onKilled(listener) {
			killListeners.push(listener);
		},
	};
}
