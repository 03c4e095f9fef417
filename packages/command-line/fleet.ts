import * as valibot from 'valibot';
import {checkInput} from '#core';
import {entryRecordSchema, type EntryRecord} from '#protocol';
import type {KeyValueStore} from '#store';
import {callEntry} from './call-entry.js';
import {UnavailableError} from './errors.js';

const countSchema = valibot.number();
const agentSchema = valibot.looseObject({
	worker: valibot.string(), rack: valibot.string(), isLeaving: valibot.boolean(), configurationRevision: countSchema, layoutRevision: countSchema,
	holdings: countSchema,
	capacity: valibot.looseObject({slots: countSchema, accelerators: countSchema}),
	load: valibot.looseObject({
		shortQueued: countSchema, shortRunning: countSchema, longQueued: countSchema, longRunning: countSchema,
	}),
});

const fleetSchema = valibot.looseObject({
	entry: valibot.string(),
	region: valibot.string(),
	zone: valibot.string(),
	configurationRevision: countSchema,
	isStoreAvailable: valibot.boolean(),
	agents: valibot.array(agentSchema),
	peers: valibot.array(valibot.looseObject({...entryRecordSchema.entries, isConnected: valibot.boolean(), configurationRevision: countSchema})),
});

/** One entry's response to `GET /v1/fleet`. */
export type FleetView = valibot.InferOutput<typeof fleetSchema>;
export type FleetAgent = valibot.InferOutput<typeof agentSchema>;

/** Queries one entry; undefined if it does not return a valid view. */
export async function readFleetView(origin: string): Promise<FleetView | undefined> {
	const result = await callEntry(origin, 'GET', '/v1/fleet');
	const decoded = valibot.safeParse(fleetSchema, result.kind === 'answered' && result.status === 200 ? result.body : undefined);
	return decoded.success ? decoded.output : undefined;
}

/** Entries that are registered in the store. */
export async function listEntries(store: KeyValueStore): Promise<readonly EntryRecord[]> {
	const reply = await store.list('entries/');
	if (reply.kind === 'unavailable') {
		throw new UnavailableError('store', reply.message);
	}

	return reply.values.flatMap(({value}) => {
		const checked = checkInput(entryRecordSchema, value);
		return checked.kind === 'valid' ? [checked.value] : [];
	});
}

/** The rollout progress of a revision. */
export type Progress = Readonly<{
	entries: number;
	entriesInForce: number;
	agents: number;
	agentsInForce: number;
	/** Entries and workers that do not have the revision yet. */
	missing: readonly string[];
}>;

/** Counts entries and agents that have a revision or a later one. An agent reports to several entries; the highest revision counts. */
export function measureProgress(revision: number, entries: readonly string[], views: readonly FleetView[]): Progress {
	const revisions = new Map(views.map(view => [view.entry, view.configurationRevision]));
	const agents = new Map<string, number>();
	for (const {worker, configurationRevision} of views.flatMap(view => view.agents)) {
		agents.set(worker, Math.max(agents.get(worker) ?? 0, configurationRevision));
	}

	const missingEntries = entries.filter(entry => (revisions.get(entry) ?? 0) < revision);
	const missingAgents = [...agents].filter(([, agentRevision]) => agentRevision < revision).map(([worker]) => worker);
	return {
		entries: entries.length,
		entriesInForce: entries.length - missingEntries.length,
		agents: agents.size,
		agentsInForce: agents.size - missingAgents.length,
		missing: [...missingEntries, ...missingAgents],
	};
}
