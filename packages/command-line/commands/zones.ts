import * as valibot from 'valibot';
import {callEntry} from '../call-entry.js';
import {exitCodeDone} from '../constants.js';
import {UnavailableError} from '../errors.js';
import {commandPlugins} from '../plugins.js';
import {formatTable} from '../table.js';

const zonesSchema = valibot.looseObject({
	entry: valibot.string(),
	/** Store revision of the list; 0 before the entry has read it. */
	revision: valibot.number(),
	zones: valibot.array(valibot.looseObject({
		zone: valibot.string(),
		revision: valibot.number(),
		closedMilliseconds: valibot.number(),
		/** Absent if no scheduler answers. */
		contents: valibot.optional(valibot.looseObject({
			workers: valibot.number(),
			runs: valibot.number(),
			listed: valibot.array(valibot.looseObject({
				task: valibot.string(), run: valibot.number(), worker: valibot.string(), stage: valibot.string(), percent: valibot.number(),
			})),
		})),
	})),
});
type ZonesView = valibot.InferOutput<typeof zonesSchema>;

commandPlugins.register({
	kind: 'command',
	name: 'zones',
	description: 'Show the closed zones as an entry knows them, since when, and what still runs there',
	options: [],
	async perform(_commandArguments, _options, context) {
		const origin = context.useEntryOrigin();
		const result = await callEntry(origin, 'GET', '/v1/zones');
		const decoded = valibot.safeParse(zonesSchema, result.kind === 'answered' && result.status === 200 ? result.body : undefined);
		if (!decoded.success) {
			throw new UnavailableError(`entry ${origin}`, 'it did not return a valid list of closed zones');
		}

		const view = decoded.output;
		if (view.revision === 0) {
			throw new UnavailableError('list of closed zones', `entry ${view.entry} has not read it yet`);
		}

		context.print(context.isJson ? JSON.stringify(view) : formatZones(view, context.clock.now()));
		return exitCodeDone;
	},
});

function formatZones({zones}: ZonesView, now: number): string {
	if (zones.length === 0) {
		return 'no zone is closed';
	}

	const runs = zones.flatMap(({zone, contents}) => (contents?.listed ?? []).map(({task, run, worker, stage, percent}) => [zone, worker, task, run, stage, Math.round(percent)]));
	const left = zones.reduce((total, {contents}) => total + (contents?.runs ?? 0), 0) - runs.length;
	return [
		formatTable(['zone', 'known to be closed since', 'revision', 'workers', 'runs'], zones.map(({zone, revision, closedMilliseconds, contents}) => [
			zone, new Date(now - closedMilliseconds).toISOString(), revision, contents?.workers ?? 'unknown', contents?.runs ?? 'unknown',
		])),
		...(runs.length === 0 ? [] : ['', formatTable(['zone', 'worker', 'task', 'run', 'stage', 'percent'], runs)]),
		...(left > 0 ? [`${left} further runs are not listed`] : []),
		...(zones.some(({contents}) => contents === undefined) ? ['no scheduler answers, so that workers and runs of some zones are unknown'] : []),
	].join('\n');
}
