import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {WebSocket} from 'ws';
import {
	createRegistry, createVirtualClock, silentLog, type VirtualClock,
} from '#kernel';
import {findParametersSchema, idleReceiveTimeoutMilliseconds, receiveTimeoutMilliseconds} from '#protocol';
import {
	connectToPeer, listenForPeers, type PeerListener, type RpcPeer,
} from '#transport';
import {startSilentProxy, type SilentProxy} from '#test/support/silent-proxy';

const parameters = {requestId: '01890a5d-ac96-774b-bcce-b302099a8057'};
const timeout = 60_000;
const tickMilliseconds = 500;

const answering = createRegistry<undefined, RpcPeer>('answering');
answering.register({
	kind: 'rpc-method', name: 'request.find', parametersSchema: findParametersSchema, handle: async () => ({kind: 'never-seen'}),
});
const dialling = createRegistry<undefined, RpcPeer>('dialling');

type Fixture = Readonly<{clock: VirtualClock; proxy: SilentProxy; dial: () => Promise<RpcPeer | undefined>}>;
type Case = Readonly<{name: string; act: (fixture: Fixture) => Promise<unknown>; expected: unknown}>;

async function advance(clock: VirtualClock, duration: number): Promise<void> {
	for (let elapsed = 0; elapsed < duration; elapsed += tickMilliseconds) {
		clock.advance(tickMilliseconds);
		await nextTurn();
	}
}

const cases: readonly Case[] = [
	{
		name: 'a call is answered by the method of the other side',
		async act({dial}) {
			const peer = await dial();
			return peer?.call('request.find', parameters, timeout);
		},
		expected: {kind: 'answered', result: {kind: 'never-seen'}},
	},
	{
		name: 'a call on a connection that went silent fails without waiting for TCP, and may have been acted on',
		async act({dial, proxy, clock}) {
			const peer = await dial();
			proxy.silenceOpenConnections();
			const reply = peer?.call('request.find', parameters, timeout);
			await advance(clock, receiveTimeoutMilliseconds);
			return reply;
		},
		expected: {
			kind: 'failed', delivery: 'perhaps-sent', reason: 'connection-lost', message: `no traffic for ${receiveTimeoutMilliseconds} ms`,
		},
	},
	{
		name: 'a plain connection without probes stays open for as long after it went silent',
		async act({proxy, clock}) {
			const socket = new WebSocket(`ws://127.0.0.1:${proxy.port}`);
			await new Promise(resolve => {
				socket.once('open', resolve);
			});
			proxy.silenceOpenConnections();
			await advance(clock, idleReceiveTimeoutMilliseconds);
			const isOpen = socket.readyState === socket.OPEN;
			socket.terminate();
			return isOpen;
		},
		expected: true,
	},
	{
		name: 'an idle connection that went silent is closed, and a new one through the same path works',
		async act({dial, proxy, clock}) {
			const peer = await dial();
			proxy.silenceOpenConnections();
			await advance(clock, idleReceiveTimeoutMilliseconds);
			const next = await dial();
			const reply = await next?.call('request.find', parameters, timeout);
			return [peer?.isOpen(), reply?.kind];
		},
		expected: [false, 'answered'],
	},
	{
		name: 'a call on a closed connection was certainly never sent',
		async act({dial}) {
			const peer = await dial();
			peer?.close('test');
			const reply = await peer?.call('request.find', parameters, timeout);
			return reply?.kind === 'failed' ? reply.delivery : reply;
		},
		expected: 'never-sent',
	},
	{
		name: 'parameters that do not fit the schema are refused by the other side',
		async act({dial}) {
			const peer = await dial();
			const reply = await peer?.call('request.find', {requestId: 'seven'}, timeout);
			return reply?.kind === 'failed' ? reply.message : reply;
		},
		expected: 'invalid parameters of request.find',
	},
];

describe('connection between processes', () => {
	let listener: PeerListener;
	let proxy: SilentProxy;
	let clock: VirtualClock;
	const log = silentLog.withPrefix('test');

	beforeEach(async () => {
		clock = createVirtualClock();
		listener = await listenForPeers('127.0.0.1', 0, {
			registry: answering, context: undefined, clock: createVirtualClock(), log,
		});
		proxy = await startSilentProxy(listener.port);
	});

	afterEach(() => {
		proxy.close();
		listener.close();
	});

	for (const {name, act, expected} of cases) {
		it(name, async () => {
			const dial = async () => connectToPeer(`127.0.0.1:${proxy.port}`, {
				registry: dialling, context: undefined, clock, log,
			});
			expect(await act({clock, proxy, dial})).to.deep.equal(expected);
		});
	}
});
