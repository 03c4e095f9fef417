/** Processes that keep to no limit at the port for agents and other entries. */
import {connect} from 'node:net';
import {expect} from 'chai';
import * as valibot from 'valibot';
import {WebSocket} from 'ws';
import {createRegistry, createVirtualClock, silentLog} from '#kernel';
import {listenForPeers, type PeerListener, type RpcPeer} from '#transport';

const limits = {maximumConnections: 6, handshakeConnections: 4, budgetBytes: 300_000};

/** Larger than what the kernel keeps of unread messages. */
const answerCharacters = 200_000;
const unreadAnswers = 200;

const registry = createRegistry<undefined, RpcPeer>('test');
registry.register({
	kind: 'rpc-method', name: 'large-answer', parametersSchema: valibot.unknown(), handle: async () => 'x'.repeat(answerCharacters),
});

async function waitUntil(what: string, isTrue: () => boolean): Promise<void> {
	for (let attempt = 0; !isTrue(); attempt++) {
		if (attempt === 500) {
			throw new Error(`timed out waiting for ${what}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
}

type Context = Readonly<{listener: PeerListener; refusals: readonly string[]; open(): Promise<WebSocket>; openRaw(): void}>;
type Case = Readonly<{name: string; run(context: Context): Promise<void>}>;

/** Header of a frame from a client that announces a text of 1 MB; the mask is 0. */
const unfinishedFrame = Buffer.from([0x81, 0xFF, 0, 0, 0, 0, 0, 0x0F, 0x42, 0x40, 0, 0, 0, 0]);

const cases: readonly Case[] = [
	{
		name: 'a message that does not end is closed when the budget is exceeded, and others stay (memory for messages that never end)',
		async run({listener, refusals, open}) {
			await open();
			const socket = await open();
			const {_socket: raw} = socket as unknown as Readonly<{_socket: {write(bytes: Buffer): void}}>;
			raw.write(unfinishedFrame);
			raw.write(Buffer.alloc(400_000));
			await waitUntil('closing', () => socket.readyState === socket.CLOSED);
			expect(refusals).to.deep.equal(['receive-budget-exceeded']);
			expect(listener.peers()).to.have.length(1);
		},
	},
	{
		name: 'a message in many fragments is closed (memory for each fragment)',
		async run({listener, open}) {
			const socket = await open();
			for (let index = 0; index < 100; index++) {
				socket.send('x', {fin: false});
			}

			await waitUntil('closing', () => listener.peers().length === 0);
		},
	},
	{
		name: 'a process that does not read the answers to its calls is closed (memory for unread answers)',
		async run({listener, open}) {
			const socket = await open();
			socket.pause();
			for (let id = 0; id < unreadAnswers; id++) {
				socket.send(JSON.stringify({
					jsonrpc: '2.0', id, method: 'large-answer', params: {},
				}));
			}

			await waitUntil('closing', () => listener.peers().length === 0);
		},
	},
	{
		name: 'a process connects beside clients without a handshake (silent clients hold all places)',
		async run({listener, refusals, open, openRaw}) {
			for (let index = 0; index < 2 * limits.handshakeConnections; index++) {
				openRaw();
			}

			await open();
			await waitUntil('connection', () => listener.peers().length === 1);
			expect(new Set(refusals)).to.deep.equal(new Set(['connection-replaced']));
		},
	},
	{
		name: 'no more than the maximum of processes are connected (memory for connections)',
		async run({listener, refusals, open}) {
			for (let index = 0; index < limits.maximumConnections + 2; index++) {
				await open();
			}

			expect(listener.peers()).to.have.length(limits.maximumConnections);
			expect(refusals).to.deep.equal(['too-many-connections', 'too-many-connections']);
		},
	},
];

describe('listener for agents and other entries', () => {
	for (const {name, run} of cases) {
		it(name, async () => {
			const refusals: string[] = [];
			const closers: Array<() => void> = [];
			const listener = await listenForPeers('127.0.0.1', 0, {
				registry,
				context: undefined,
				clock: createVirtualClock(),
				log: silentLog.withPrefix('test'),
				limits,
				countRefusal(reason) {
					refusals.push(reason);
				},
			});
			try {
				await run({
					listener,
					refusals,
					async open() {
						const socket = new WebSocket(`ws://127.0.0.1:${listener.port}`);
						socket.on('error', () => undefined);
						closers.push(() => {
							socket.terminate();
						});
						await new Promise(resolve => {
							socket.once('open', resolve);
						});
						return socket;
					},
					openRaw() {
						const socket = connect(listener.port, '127.0.0.1');
						socket.on('error', () => undefined);
						closers.push(() => {
							socket.destroy();
						});
					},
				});
			} finally {
				for (const close of closers) {
					close();
				}

				listener.close();
			}
		});
	}
});
