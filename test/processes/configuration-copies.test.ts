import {expect} from 'chai';
import type {EntryId} from '#core';
import {
	createRegistry, sleep, silentLog, systemClock,
} from '#kernel';
import {peerExchangeParametersSchema, type PeerExchangeParameters} from '#protocol';
import {listenForPeers, type RpcPeer} from '#transport';
import {
	killAll, startDaemon, waitFor, type Daemon,
} from '#test/support/processes';

/** How long the entries below take for an exchange, as over a slow link. */
const exchangeMilliseconds = 700;
const entryCount = 3;

describe('copies of the configuration between entries', () => {
	it('an entry asks one other entry at a time (copies of every entry fill a slow link)', async () => {
		const log = silentLog.withPrefix('test');
		let asking = 0;
		let mostAsking = 0;
		let exchanges = 0;
		const listeners = await Promise.all(Array.from({length: entryCount}, async (_, index) => {
			const registry = createRegistry<undefined, RpcPeer>('test');
			registry.register({
				kind: 'rpc-method',
				name: 'peer.exchange',
				parametersSchema: peerExchangeParametersSchema,
				async handle(parameters) {
					const {record, summary, wantsConfiguration} = parameters as PeerExchangeParameters;
					const copies = wantsConfiguration ? 1 : 0;
					exchanges++;
					asking += copies;
					mostAsking = Math.max(mostAsking, asking);
					await sleep(systemClock, exchangeMilliseconds);
					asking -= copies;
					return {record: {...record, entry: `other-${index}` as EntryId}, configurationRevision: 9, summary};
				},
			});
			return listenForPeers('127.0.0.1', 0, {
				registry, context: undefined, clock: systemClock, log,
			});
		}));
		const daemons: Daemon[] = [await startDaemon('stand-in-store', {'listen-port': 0})];
		try {
			daemons.push(await startDaemon('dotterelnotch-entry', {
				entry: 'entry-1', region: 'north', zone: 'north-a', 'store-origin': `http://127.0.0.1:${daemons[0]?.ports['http']}`, 'listen-port': 0, 'peer-port': 0,
				peers: listeners.map(({port}) => `127.0.0.1:${port}`).join(','), 'log-level': 'error',
			}));
			await waitFor('exchanges', async () => exchanges >= 2 * entryCount ? true : undefined);
			expect(mostAsking).to.equal(1);
		} finally {
			await killAll(daemons);
			for (const listener of listeners) {
				listener.close();
			}
		}
	});
});
