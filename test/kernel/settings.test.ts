import {expect} from 'chai';
import * as valibot from 'valibot';
import {portSettingSchema, readSettings, type SettingSources} from '#kernel';

const definitions = {
	'listen-port': {schema: portSettingSchema, description: 'Port', default: '8080'},
	zone: {schema: valibot.string(), description: 'Zone'},
};

type Case = Readonly<{name: string; sources: SettingSources; expected: unknown}>;

const cases: readonly Case[] = [
	{
		name: 'a flag takes precedence over an environment variable',
		sources: {flags: {zone: 'north-a'}, environment: {DOTTERELNOTCH_ZONE: 'south-a'}},
		expected: {kind: 'valid', value: {'listen-port': 8080, zone: 'north-a'}},
	},
	{
		name: 'an environment variable takes precedence over the default',
		sources: {flags: {zone: 'north-a'}, environment: {DOTTERELNOTCH_LISTEN_PORT: '9000'}},
		expected: {kind: 'valid', value: {'listen-port': 9000, zone: 'north-a'}},
	},
	{
		name: 'all findings are reported together, each with its flag or environment variable',
		sources: {flags: {unknown: '1'}, environment: {DOTTERELNOTCH_LISTEN_PORT: '70000'}},
		expected: {
			kind: 'invalid',
			findings: [
				{place: 'DOTTERELNOTCH_LISTEN_PORT', message: 'must be a whole number from 0 to 65535'},
				{place: '--zone', message: 'is required (or set DOTTERELNOTCH_ZONE)'},
				{place: '--unknown', message: 'is not a known flag'},
			],
		},
	},
];

describe('settings', () => {
	for (const {name, sources, expected} of cases) {
		it(name, () => {
			expect(readSettings(definitions, sources)).to.deep.equal(expected);
		});
	}
});
