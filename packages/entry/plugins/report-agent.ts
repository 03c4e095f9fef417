import type {WorkerId} from '#core';
import type {AgentView} from '#membership';
import {
	reportParametersSchema, type EntryAddress, type ReportParameters, type ReportResult,
} from '#protocol';
import type {RpcPeer} from '#transport';
import {listZoneEntries} from '../entries.js';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {connectionsService} from './connections.js';
import {entriesService} from './entries.js';
import {layoutService} from './layout-task.js';
import {membershipService} from './membership.js';
import {routingService} from './routing.js';

entryPlugins.register({
	kind: 'rpc-method',
	name: 'agent.report',
	parametersSchema: reportParametersSchema,
	async handle(parameters, context, peer): Promise<ReportResult> {
		const worker = context.services.use(connectionsService).read().workers.get(peer);
		const agent = worker === undefined ? undefined : context.services.use(membershipService).read().agents.get(worker);
		if (worker === undefined || agent === undefined) {
			return {};
		}

		const revisions = applyReport(worker, agent, parameters as ReportParameters, context);
		const slice = context.services.use(layoutService).chooseSlice(worker, revisions);
		const entries = listChangedEntries(peer, context);
		return {...(entries === undefined ? {} : {entries}), ...(slice === undefined ? {} : {slice})};
	},
});

/** Applies a report to membership and routing; omitted fields have not changed. */
function applyReport(worker: WorkerId, agent: AgentView, report: ReportParameters, {services}: EntryContext): Pick<AgentView, 'configurationRevision' | 'layoutRevision'> {
	const {load = agent.load, holdings, configurationRevision = agent.configurationRevision, layoutRevision = agent.layoutRevision} = report;
	services.use(membershipService).send({
		kind: 'reported', worker, incarnation: agent.incarnation, load, holdings, configurationRevision, layoutRevision,
	});
	services.use(routingService).send({
		kind: 'reported', worker, load: {short: load.shortQueued + load.shortRunning, long: load.longQueued + load.longRunning},
	});
	return {configurationRevision, layoutRevision};
}

/** Returns the entries of the zone if they have changed since they were last sent to this agent. */
function listChangedEntries(peer: RpcPeer, {services}: EntryContext): readonly EntryAddress[] | undefined {
	const entries = listZoneEntries(services.use(entriesService).read());
	const text = JSON.stringify(entries);
	const connections = services.use(connectionsService);
	if (connections.read().sentEntries.get(peer) === text) {
		return undefined;
	}

	connections.send({kind: 'entries-sent', peer, text});
	return entries;
}
