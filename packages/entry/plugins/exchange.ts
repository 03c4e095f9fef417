import {peerExchangeParametersSchema, type PeerExchangeParameters, type PeerExchangeResult} from '#protocol';
import {entryPlugins} from '../plugins.js';
import {
	describeOwnState, entriesService, exchange, trackLink,
} from './entries.js';
import {configurationService} from './watch-configuration.js';

entryPlugins.register({
	kind: 'rpc-method',
	name: 'peer.exchange',
	parametersSchema: peerExchangeParametersSchema,
	async handle(parameters, context, peer): Promise<PeerExchangeResult> {
		const {record, configurationRevision, summary, records, wantsConfiguration} = parameters as PeerExchangeParameters;
		const entries = context.services.use(entriesService);
		const {self} = entries.read();
		if (self === undefined) {
			throw new Error('this entry is not listening yet');
		}

		const known = [...entries.read().records.values()];
		const {current} = context.services.use(configurationService).read();
		if (record.entry !== self.entry) {
			const link = entries.read().links.get(record.entry);
			const dialledBy = link?.peer === peer ? link.dialledBy : record.entry;
			trackLink(peer, {
				kind: 'exchanged', record, dialledAddress: undefined, link: {
					peer, dialledBy, configurationRevision, summary,
				},
			}, context);
			entries.send({kind: 'discovered', records: records ?? []});
			// The sender has a newer configuration; only the answer to an exchange carries it.
			if (configurationRevision > (current?.revision ?? 0)) {
				void exchange(peer, {dialledBy, isFirst: false}, context);
			}
		}

		const sendsConfiguration = wantsConfiguration && current !== undefined && current.revision > configurationRevision;
		return {
			...describeOwnState(context, self),
			...(sendsConfiguration ? {configuration: current} : {}),
			...(records === undefined ? {} : {records: known}),
		};
	},
});
