/** Starts the bundled programs as separate operating-system processes on loopback. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';

export type Daemon = Readonly<{
	process: ChildProcess;
	ports: Readonly<Record<string, number>>;
	/** Resolves to the exit code, or to null after a signal. */
	exited: Promise<number | null>;
}>;

export type DaemonName = 'dotterelnotch-entry' | 'dotterelnotch-agent' | 'stand-in-store' | 'stand-in-worker' | 'platform-entry' | 'platform-agent';

export type DaemonOptions = Readonly<{
	errors?: 'inherit' | 'ignore';
	/** Arguments of Node itself. Example: `--max-old-space-size=96`. */
	nodeArguments?: readonly string[];
	/** Environment variables beside those of the test. */
	environment?: Readonly<Record<string, string>>;
}>;

/** Starts a daemon and waits until it says that it is ready. */
export async function startDaemon(name: DaemonName, settings: Readonly<Record<string, string | number>>, options: DaemonOptions = {}): Promise<Daemon> {
	const {errors = 'inherit', nodeArguments = [], environment = {}} = options;
	const flags = Object.entries(settings).map(([setting, value]) => `--${setting}=${value}`);
	const child = spawn(process.execPath, [...nodeArguments, `dist/${name}.mjs`, ...flags], {stdio: ['ignore', 'pipe', errors], env: {...process.env, ...environment}});
	const exited = new Promise<number | null>(resolve => {
		child.once('exit', resolve);
	});
	const lines = createInterface({input: child.stdout});
	const ready = new Promise<Readonly<Record<string, number>>>((resolve, reject) => {
		// Log lines come on the same stream, and so does the report of a process that ran out of memory.
		lines.on('line', line => {
			if (!line.startsWith('{')) {
				return;
			}

			const parsed = JSON.parse(line) as Readonly<{ready?: boolean; ports?: Readonly<Record<string, number>>}>;
			if (parsed.ready === true && parsed.ports !== undefined) {
				resolve(parsed.ports);
			}
		});
		child.once('exit', code => {
			reject(new Error(`${name} exited with code ${code} before it was ready`));
		});
	});
	return {process: child, ports: await ready, exited};
}

/** Kills every daemon that still runs. */
export async function killAll(daemons: readonly Daemon[]): Promise<void> {
	for (const daemon of daemons) {
		daemon.process.kill('SIGKILL');
	}

	await Promise.all(daemons.map(async daemon => daemon.exited));
}

/** Asks until the answer is not undefined. */
export async function waitFor<Value>(what: string, ask: () => Promise<Value | undefined>, timeout = 20_000): Promise<Value> {
	const deadline = Date.now() + timeout;
	while (Date.now() < deadline) {
		const value = await ask();
		if (value !== undefined) {
			return value;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}

	throw new Error(`timed out waiting for ${what}`);
}
