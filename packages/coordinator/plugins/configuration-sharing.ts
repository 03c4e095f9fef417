import type {SchedulingConfiguration} from '#jobs';
import {createServiceKey} from '#kernel';
import {emptySchema} from '#protocol';
import {decodeConfiguration, encodeConfiguration} from '../configuration-encoding.js';
import {configurationFetchTimeoutMilliseconds} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';
import type {CoordinatorContext} from '../types.js';
import {configurationFetchService, configurationService} from './configuration.js';
import {entryPeersService} from './entry-peers.js';

/** The current configuration as sent to other entries; it is compressed once. */
type ConfigurationSharing = Readonly<{encode(): Promise<string | undefined>}>;

const configurationSharingService = createServiceKey<ConfigurationSharing>('configuration-sharing');

coordinatorPlugins.register({
	kind: 'task',
	name: 'configuration-sharing',
	start(context) {
		let encoded: Readonly<{configuration: SchedulingConfiguration; text: Promise<string>}> | undefined;
		context.services.provide(configurationSharingService, {
			async encode() {
				const {current} = context.services.use(configurationService).read();
				if (current !== undefined && encoded?.configuration !== current) {
					encoded = {configuration: current, text: encodeConfiguration(current)};
				}

				return encoded?.text;
			},
		});
		context.services.provide(configurationFetchService, {
			fetch: async address => fetchConfiguration(address, context),
		});
		return () => undefined;
	},
});

coordinatorPlugins.register({
	kind: 'rpc-method',
	name: 'entry.fetch-configuration',
	parametersSchema: emptySchema,
	async handle(_parameters, {services}) {
		const encoded = await services.use(configurationSharingService).encode();
		return encoded === undefined ? {} : {encoded};
	},
});

async function fetchConfiguration(address: string, {services, counters, log}: CoordinatorContext): Promise<void> {
	counters.countRetry('configuration-fetch');
	const reply = await services.use(entryPeersService).findByAddress(address)?.call('entry.fetch-configuration', {}, configurationFetchTimeoutMilliseconds);
	const encoded = reply?.kind === 'answered' ? reply.result.encoded : undefined;
	const decoded = encoded === undefined ? undefined : await decodeConfiguration(encoded);
	if (decoded?.kind === 'valid') {
		services.use(configurationService).send({kind: 'received', configuration: decoded.value, source: 'entry'});
		return;
	}

	const reason = decoded?.findings ?? (reply?.kind === 'failed' ? reply.message : 'no connection, or nothing to send');
	log.withPrefix('configuration').warn({address, reason}, 'no configuration from another entry');
}
