import {checkInput, type EntryId} from '#core';
import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {entryRecordSchema, type EntryRecord, type PeerExchangeParameters} from '#protocol';
import {startWatchTask, type Observation, type StoredValue} from '#store';
import {connectToPeer, type RpcPeer} from '#transport';
import {
	createEntriesState, receiveEntriesMessage, type EntriesMessage, type EntriesState,
} from '../entries.js';
import {entryPlugins} from '../plugins.js';
import {createOwnRecord} from '../entry-record.js';
import {summarizeZone} from '../summary.js';
import type {EntryContext} from '../types.js';
import {configurationFetchService} from './configuration-fetch.js';
import {membershipService} from './membership.js';
import {entriesPrefix} from './register-entry.js';
import {storeService} from './store.js';
import {configurationService} from './watch-configuration.js';

const exchangeTimeoutMilliseconds = 5000;

/** The task that owns the list of known entries and the connections to them. */
export const entriesService = createServiceKey<TaskHandle<EntriesState, EntriesMessage>>('entries');

entryPlugins.register({
	kind: 'task',
	name: 'entries',
	start(context) {
		const {clock, services, settings, log} = context;
		const entries = startTask(
			{name: 'entries', initialState: createEntriesState(settings.peers), receive: receiveEntriesMessage},
			{
				clock,
				perform(effect, send) {
					switch (effect.kind) {
						case 'dial': {
							void dialEntry(effect.address, context);
							break;
						}

						case 'exchange': {
							void exchange(effect.peer, {dialledBy: effect.dialledBy, isFirst: false}, context);
							break;
						}

						case 'close': {
							effect.peer.close(effect.reason);
							break;
						}

						case 'schedule-tick': {
							clock.schedule(effect.delay, () => {
								send({kind: 'tick'});
							});
						}
					}
				},
			},
		);
		services.provide(entriesService, entries);
		const watch = startWatchTask({
			store: services.use(storeService),
			clock,
			random: context.random,
			prefix: entriesPrefix,
			onObserved(observation) {
				for (const message of toMessages(observation)) {
					entries.send(message);
				}
			},
			onFailure(reason, failures) {
				log.withPrefix('entries').debug({reason, failures}, 'store is unavailable; keeping the known entries');
			},
		});
		void (async () => {
			entries.send({kind: 'listening', self: createOwnRecord(settings, await context.listening)});
		})();

		return () => {
			watch.stop();
			entries.stop();
		};
	},
});

function toMessages(observation: Observation): readonly EntriesMessage[] {
	switch (observation.kind) {
		case 'all': {
			return [{kind: 'listed', records: observation.values.flatMap(toRecords)}];
		}

		case 'changes': {
			return observation.events.flatMap((event): readonly EntriesMessage[] => event.kind === 'put'
				? toRecords(event.stored).map(record => ({kind: 'registered', record}))
				: [{kind: 'deregistered', entry: event.key.split('/').at(-1) as EntryId}]);
		}
	}
}

function toRecords({value}: StoredValue): readonly EntryRecord[] {
	const checked = checkInput(entryRecordSchema, value);
	return checked.kind === 'valid' ? [checked.value] : [];
}

/** Describes the state of this entry for an exchange. */
export function describeOwnState({services, settings}: EntryContext, self: EntryRecord): Omit<PeerExchangeParameters, 'records' | 'wantsConfiguration'> {
	const {region, zone} = settings;
	return {
		record: self,
		configurationRevision: services.use(configurationService).read().current?.revision ?? 0,
		summary: {region, zone, ...summarizeZone(services.use(membershipService).read())},
	};
}

async function dialEntry(address: string, context: EntryContext): Promise<void> {
	const entries = context.services.use(entriesService);
	const peer = await connectToPeer(address, {
		registry: entryPlugins, context, clock: context.clock, log: context.log.withPrefix('entries'),
	});
	if (peer === undefined) {
		entries.send({kind: 'dial-failed', address});
		return;
	}

	await exchange(peer, {dialledBy: context.settings.entry, isFirst: true, dialledAddress: address}, context);
}

export type ExchangeOptions = Readonly<{dialledBy: EntryId; isFirst: boolean; dialledAddress?: string}>;

/** Exchanges revisions, summaries and, on the first exchange of a connection, the known entries with another entry. */
export async function exchange(peer: RpcPeer, {dialledBy, isFirst, dialledAddress}: ExchangeOptions, context: EntryContext): Promise<void> {
	const {services} = context;
	const entries = services.use(entriesService);
	const {self, records} = entries.read();
	if (self === undefined) {
		return;
	}

	const fetch = services.use(configurationFetchService);
	const wantsConfiguration = mayHaveNewerConfiguration(peer, context) && fetch.begin();
	const reply = await peer.call('peer.exchange', {
		...describeOwnState(context, self), ...(isFirst ? {records: [...records.values()]} : {}), wantsConfiguration,
	}, exchangeTimeoutMilliseconds);
	if (wantsConfiguration) {
		fetch.end();
	}

	if (reply.kind === 'failed') {
		context.log.withPrefix('entries').debug({address: peer.address, reason: reply.message}, 'exchange failed');
		peer.close(reply.message);
		if (dialledAddress !== undefined) {
			entries.send({kind: 'dial-failed', address: dialledAddress});
		}

		return;
	}

	const {record, configuration, configurationRevision, summary, records: discovered = []} = reply.result;
	if (configuration !== undefined) {
		context.services.use(configurationService).send({kind: 'observed', configuration});
	}

	if (record.entry === self.entry) {
		peer.close('this entry dialled itself');
		entries.send({kind: 'dialled-self', address: dialledAddress ?? self.peerAddress});
		return;
	}

	trackLink(peer, {
		kind: 'exchanged', record, dialledAddress, link: {
			peer, dialledBy, configurationRevision, summary,
		},
	}, context);
	entries.send({kind: 'discovered', records: discovered});
}

/** Whether the other entry reported a newer configuration, or has not reported yet. */
function mayHaveNewerConfiguration(peer: RpcPeer, {services}: EntryContext): boolean {
	const link = [...services.use(entriesService).read().links.values()].find(candidate => candidate.peer === peer);
	return link === undefined || link.configurationRevision > (services.use(configurationService).read().current?.revision ?? 0);
}

/** Reports a completed exchange to the task, and later the end of the connection. */
export function trackLink(peer: RpcPeer, message: Extract<EntriesMessage, {kind: 'exchanged'}>, {services}: EntryContext): void {
	const entries = services.use(entriesService);
	const isTracked = [...entries.read().links.values()].some(link => link.peer === peer);
	entries.send(message);
	if (!isTracked) {
		peer.onClosed(() => {
			entries.send({kind: 'disconnected', peer});
		});
	}
}
