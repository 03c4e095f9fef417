import process from 'node:process';
import sade from 'sade';
import type {Finding} from '#core';
import {exitCodeInvalidSettings, exitCodeFailure} from './constants.js';
import {environmentVariableOf, readSettings, type SettingSources} from './settings.js';
import type {SettingDefinitions, SettingsOf} from './types.js';
import {version} from './version.js';

/** Handle of a started daemon. */
export type RunningDaemon = Readonly<{
	/** Listening ports by purpose; printed as one JSON line on standard output when the daemon is ready. */
	ports: Readonly<Record<string, number>>;
	/** Called on SIGHUP. */
	onReload?(): void;
	/** Drains and stops the daemon. */
	stop(): Promise<void>;
}>;

/** Formats findings as one line each, starting with the location. */
export function formatFindings(findings: readonly Finding[]): string {
	return findings.map(({place, message}) => `${place}: ${message}`).join('\n');
}

/**
Runs a daemon: reads its settings, starts it, and stops it on SIGTERM or SIGINT.

Exits with code 2 and prints all findings if a setting is invalid.
*/
export function runDaemon<Definitions extends SettingDefinitions>(
	name: string,
	description: string,
	definitions: Definitions,
	start: (settings: SettingsOf<Definitions>) => Promise<RunningDaemon>,
): void {
	const command = sade(name, true).version(version).describe(description);
	for (const [setting, definition] of Object.entries(definitions)) {
		command.option(`--${setting}`, `${definition.description} (${environmentVariableOf(setting)})`, definition.default);
	}

	const parsed = command.parse(process.argv, {lazy: true, string: Object.keys(definitions)});
	if (parsed === undefined) {
		return;
	}

	const flags = selectExplicitFlags(process.argv.slice(2), (parsed.args as unknown[]).at(-1) as SettingSources['flags']);
	const checked = readSettings(definitions, {flags, environment: process.env});
	switch (checked.kind) {
		case 'invalid': {
			process.stderr.write(`${formatFindings(checked.findings)}\n`);
			process.exitCode = exitCodeInvalidSettings;
			return;
		}

		case 'valid': {
			void startAndHandleSignals(start(checked.value));
		}
	}
}

/** Removes the defaults that the flag parser fills in, so that environment variables take precedence over defaults. */
function selectExplicitFlags(commandLine: readonly string[], parsed: SettingSources['flags']): SettingSources['flags'] {
	const explicitNames = new Set(commandLine.filter(argument => argument.startsWith('--')).map(argument => argument.slice(2).split('=')[0]));
	return Object.fromEntries(Object.entries(parsed).filter(([name]) => explicitNames.has(name)));
}

async function startAndHandleSignals(startup: Promise<RunningDaemon>): Promise<void> {
	try {
		const {ports, stop, onReload} = await startup;
		process.stdout.write(`${JSON.stringify({ready: true, ports})}\n`);
		let isStopping = false;
		const handleSignal = () => {
			if (isStopping) {
				return;
			}

			isStopping = true;
			void stopAndExit(stop);
		};

		// Settings are not read again: flags and environment variables do not change while the process runs.
		process.on('SIGHUP', () => {
			onReload?.();
		});
		process.on('SIGTERM', handleSignal);
		process.on('SIGINT', handleSignal);
	} catch (error) {
		process.stderr.write(`${String(error)}\n`);
		process.exit(exitCodeFailure);
	}
}

async function stopAndExit(stop: () => Promise<void>): Promise<void> {
	try {
		await stop();
		process.exit(0);
	} catch (error) {
		process.stderr.write(`${String(error)}\n`);
		process.exit(exitCodeFailure);
	}
}
