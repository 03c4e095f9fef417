import * as valibot from 'valibot';
import {type CheckResult, type Finding} from '#core';
import {environmentPrefix} from './constants.js';
import type {SettingDefinitions, SettingsOf} from './types.js';

/** Sources of settings. A flag takes precedence over an environment variable. */
export type SettingSources = Readonly<{
	flags: Readonly<Record<string, string | boolean | readonly string[] | undefined>>;
	environment: Readonly<Record<string, string | undefined>>;
}>;

/**
Returns the name of the environment variable for a setting.

@example
```
environmentVariableOf('listen-port');
//=> 'DOTTERELNOTCH_LISTEN_PORT'
```
*/
export function environmentVariableOf(name: string): string {
	return environmentPrefix + name.replaceAll('-', '_').toUpperCase();
}

/** Reads and validates all settings. All findings are returned together, each with its flag or environment variable. */
export function readSettings<Definitions extends SettingDefinitions>(definitions: Definitions, sources: SettingSources): CheckResult<SettingsOf<Definitions>> {
	const findings: Finding[] = [];
	const settings: Record<string, unknown> = {};
	for (const [name, definition] of Object.entries(definitions)) {
		const {place, text} = readSource(name, definition.default, sources);
		if (text === undefined) {
			findings.push({place, message: `is required (or set ${environmentVariableOf(name)})`});
			continue;
		}

		const result = valibot.safeParse(definition.schema, text);
		if (result.success) {
			settings[name] = result.output;
		} else {
			findings.push(...result.issues.map(issue => ({place, message: issue.message})));
		}
	}

	for (const name of Object.keys(sources.flags)) {
		if (name !== '_' && !Object.hasOwn(definitions, name)) {
			findings.push({place: `--${name}`, message: 'is not a known flag'});
		}
	}

	return findings.length === 0
		? {kind: 'valid', value: settings as SettingsOf<Definitions>}
		: {kind: 'invalid', findings};
}

function readSource(name: string, defaultText: string | undefined, sources: SettingSources): Readonly<{place: string; text: string | undefined}> {
	const flag = sources.flags[name];
	if (flag !== undefined) {
		return {place: `--${name}`, text: Array.isArray(flag) ? flag.join(',') : String(flag)};
	}

	const variable = environmentVariableOf(name);
	const text = sources.environment[variable];
	return text === undefined ? {place: `--${name}`, text: defaultText} : {place: variable, text};
}

/** A TCP port as text; 0 lets the operating system choose a free port. */
export const portSettingSchema = wholeNumberSettingSchema(0, 65_535);

/** A non-negative integer as text; both bounds are inclusive. */
export function wholeNumberSettingSchema(minimum: number, maximum: number) {
	const message = `must be a whole number from ${minimum} to ${maximum}`;
	return valibot.pipe(
		valibot.string(),
		valibot.regex(/^\d+$/, message),
		valibot.transform(Number),
		valibot.minValue(minimum, message),
		valibot.maxValue(maximum, message),
	);
}

/** A positive decimal number as text. */
export const positiveNumberSettingSchema = valibot.pipe(
	valibot.string(),
	valibot.regex(/^\d+(?:\.\d+)?$/, 'must be a positive number'),
	valibot.transform(Number),
	valibot.check(value => value > 0, 'must be a positive number'),
);

/** A decimal number as text; both bounds are inclusive. */
export function decimalSettingSchema(minimum: number, maximum: number) {
	const message = `must be a number from ${minimum} to ${maximum}`;
	return valibot.pipe(
		valibot.string(),
		valibot.regex(/^\d+(?:\.\d+)?$/, message),
		valibot.transform(Number),
		valibot.minValue(minimum, message),
		valibot.maxValue(maximum, message),
	);
}

/** A comma-separated list of `host:port`; may be empty. */
export const addressListSettingSchema = valibot.pipe(
	valibot.string(),
	valibot.transform(text => text.split(',').filter(address => address !== '')),
	valibot.array(valibot.pipe(valibot.string(), valibot.regex(/^[^\s:]+:\d+$/, 'must be a list of host:port'))),
	valibot.readonly(),
);

/** One `host:port`. */

/** Two ports as text, separated by a comma. Example: `7000,7015`. */
export const portRangeSettingSchema = valibot.pipe(
	valibot.string(),
	valibot.regex(/^\d+,\d+$/, 'must be two ports, joined by a comma'),
	valibot.transform(text => text.split(',').map(Number)),
	valibot.check(ports => ports.every(port => port > 0 && port < 65_536), 'must be ports from 1 to 65535'),
	valibot.readonly(),
);

export {addressSchema as addressSettingSchema} from '#core';
