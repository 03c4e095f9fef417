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

const serverRegistry = createRegistry<undefined, RpcPeer>('server');
serverRegistry.register({
	kind: 'rpc-method', name: 'request.find', parametersSchema: findParametersSchema, handle: async () => ({kind: 'never-seen'}),
});
const clientRegistry = createRegistry<undefined, RpcPeer>('client');

type Fixture = Readonly<{clock: VirtualClock; proxy: SilentProxy; connect: () => Promise<RpcPeer | undefined>}>;
type Case = Readonly<{name: string; act: (fixture: Fixture) => Promise<unknown>; expected: unknown}>;

async function advance(clock: VirtualClock, duration: number): Promise<void> {
	for (let elapsed = 0; elapsed < duration; elapsed += tickMilliseconds) {
		clock.advance(tickMilliseconds);
		await nextTurn();
	}
}

const cases: readonly Case[] = [
	{
		name: 'a call is answered by the registered method of the peer',
		async act({connect}) {
			const peer = await connect();
			return peer?.call('request.find', parameters, timeout);
		},
		expected: {kind: 'answered', result: {kind: 'never-seen'}},
	},
	{
		name: 'a call on an unresponsive connection fails before TCP times out, and may have been processed',
		async act({connect, proxy, clock}) {
			const peer = await connect();
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
		name: 'an unresponsive WebSocket without liveness checks stays open for the same time',
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
		name: 'an unresponsive idle connection is closed, and a new connection over the same path works',
		async act({connect, proxy, clock}) {
			const peer = await connect();
			proxy.silenceOpenConnections();
			await advance(clock, idleReceiveTimeoutMilliseconds);
			const next = await connect();
			const reply = await next?.call('request.find', parameters, timeout);
			return [peer?.isOpen(), reply?.kind];
		},
		expected: [false, 'answered'],
	},
	{
		name: 'a call on a closed connection is reported as never sent',
		async act({connect}) {
			const peer = await connect();
			peer?.close('test');
			const reply = await peer?.call('request.find', parameters, timeout);
			return reply?.kind === 'failed' ? reply.delivery : reply;
		},
		expected: 'never-sent',
	},
	{
		name: 'invalid parameters are rejected by the peer',
		async act({connect}) {
			const peer = await connect();
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
			registry: serverRegistry, context: undefined, clock: createVirtualClock(), log,
		});
		proxy = await startSilentProxy(listener.port);
	});

	afterEach(() => {
		proxy.close();
		listener.close();
	});

	for (const {name, act, expected} of cases) {
		it(name, async () => {
			const connect = async () => connectToPeer(`127.0.0.1:${proxy.port}`, {
				registry: clientRegistry, context: undefined, clock, log,
			});
			expect(await act({clock, proxy, connect})).to.deep.equal(expected);
		});
	}
});
