import {emptySchema, type ShowZonesResult} from '#protocol';
import {listClosedZones} from '#scheduling';
import {entryCallTimeoutMilliseconds, maximumShownRuns} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';
import type {CoordinatorContext} from '../types.js';
import {shareZones} from '../zones-state.js';
import {directoryService, findLeader} from './directory.js';
import {entryPeersService} from './entry-peers.js';
import {schedulerService} from './scheduler.js';
import {zonesService} from './zones.js';

coordinatorPlugins.register({
	kind: 'rpc-method',
	name: 'entry.show-zones',
	parametersSchema: emptySchema,
	handle: async (_parameters, context) => showOwnZones(context),
});

coordinatorPlugins.register({
	kind: 'http-route',
	name: 'show-zones',
	method: 'GET',
	path: '/v1/zones',
	async handle(_request, context) {
		const {services, settings, clock} = context;
		const known = shareZones(services.use(zonesService).read(), {monotonic: clock.monotonic()});
		const shown = await showZones(context);
		const contents = new Map((shown?.kind === 'shown' ? shown.zones : []).map(({zone, ...rest}) => [zone, rest]));
		return {
			kind: 'json',
			status: 200,
			body: {
				entry: settings.entry,
				revision: known?.revision ?? 0,
				zones: (known?.closed ?? []).map(closed => ({...closed, contents: contents.get(closed.zone)})),
			},
		};
	},
});

/** Asks the scheduler what is in the closed zones; undefined if there is none that answers. */
async function showZones(context: CoordinatorContext): Promise<ShowZonesResult | undefined> {
	const {services} = context;
	const own = showOwnZones(context);
	if (own.kind === 'shown') {
		return own;
	}

	const leader = findLeader(services.use(directoryService).read());
	const peer = leader === undefined ? undefined : services.use(entryPeersService).find(leader.value.entry);
	const reply = await peer?.call('entry.show-zones', {}, entryCallTimeoutMilliseconds);
	return reply?.kind === 'answered' ? reply.result : undefined;
}

function showOwnZones({services}: CoordinatorContext): ShowZonesResult {
	const state = services.use(schedulerService).read();
	return state?.isLoaded === true
		? {
			kind: 'shown',
			zones: listClosedZones(state).map(({zone, workers, runs}) => ({
				zone,
				workers: workers.length,
				runs: runs.length,
				listed: runs.slice(0, maximumShownRuns).map(({name, run}) => ({
					task: name, run: run.run, worker: run.incarnation.worker, stage: run.stage, percent: run.percent,
				})),
			})),
		}
		: {kind: 'not-scheduler'};
}
