/** An entry that notes what agents tell it and answers as it is told. */
import type {EntryId} from '#core';
import {createRegistry, silentLog, systemClock} from '#kernel';
import {
	announceParametersSchema, leavingParametersSchema, reportParametersSchema, type AnnounceParameters, type ReportParameters, type Slice,
} from '#protocol';
import {listenForPeers, type RpcPeer} from '#transport';

export type FakeEntry = Readonly<{
	port: number;
	announcements: ReadonlyArray<Readonly<{peer: RpcPeer; parameters: AnnounceParameters}>>;
	reports: readonly ReportParameters[];
	/** Agents that said that they leave. */
	leaving: readonly string[];
	/** The slice that the next answers carry. */
	offer(slice: Slice): void;
	close(): void;
}>;

export async function startFakeEntry(entry: string): Promise<FakeEntry> {
	const announcements: Array<Readonly<{peer: RpcPeer; parameters: AnnounceParameters}>> = [];
	const reports: ReportParameters[] = [];
	const leaving: string[] = [];
	let offered: Slice | undefined;
	const answerWithSlice = () => offered === undefined ? {} : {slice: offered};
	const registry = createRegistry<undefined, RpcPeer>('fake-entry');
	registry.register({
		kind: 'rpc-method',
		name: 'agent.announce',
		parametersSchema: announceParametersSchema,
		async handle(parameters, _context, peer) {
			announcements.push({peer, parameters: parameters as AnnounceParameters});
			return {entry: entry as EntryId, entries: [], ...answerWithSlice()};
		},
	});
	registry.register({
		kind: 'rpc-method',
		name: 'agent.report',
		parametersSchema: reportParametersSchema,
		async handle(parameters) {
			reports.push(parameters as ReportParameters);
			return answerWithSlice();
		},
	});
	registry.register({
		kind: 'rpc-method',
		name: 'agent.leaving',
		parametersSchema: leavingParametersSchema,
		async handle(parameters) {
			leaving.push((parameters as Readonly<{worker: string}>).worker);
			return {};
		},
	});
	const listener = await listenForPeers('127.0.0.1', 0, {
		registry, context: undefined, clock: systemClock, log: silentLog.withPrefix('fake-entry'),
	});
	return {
		port: listener.port,
		announcements,
		reports,
		leaving,
		offer(slice) {
			offered = slice;
		},
		close: listener.close,
	};
}
