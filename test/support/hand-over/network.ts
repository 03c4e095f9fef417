/** Connections between simulated processes. A cut holds back what was sent, also what its sender no longer waits for. */
import * as valibot from 'valibot';
import type {Clock, Registry} from '#kernel';
import {idleReceiveTimeoutMilliseconds, receiveTimeoutMilliseconds} from '#protocol';
import type {CallReply, RpcPeer} from '#transport';
import type {SimulatedProcess} from './process.js';

/** A process with the methods that it offers over each of its connections. */
export type Party = Readonly<{host: string; process: SimulatedProcess; handle(method: string, parameters: unknown, peer: RpcPeer): Promise<unknown>}>;

export function createParty<Context>(host: string, process: SimulatedProcess, {registry, context}: Readonly<{registry: Registry<Context, RpcPeer>; context: Context}>): Party {
	const methods = registry.rpcMethods();
	return {
		host,
		process,
		async handle(name, parameters, peer) {
			const method = methods.find(candidate => candidate.name === name);
			return method?.handle(valibot.parse(method.parametersSchema, parameters), context, peer);
		},
	};
}

export type Network = Readonly<{
	listen(address: string, party: Party): void;
	/** Returns undefined if the connection fails or times out. */
	connect(address: string, party: Party): Promise<RpcPeer | undefined>;
	cut(host: string, other: string): void;
	heal(host: string, other: string): void;
}>;

type Message =
	| Readonly<{kind: 'call'; id: number; method: string; parameters: unknown}>
	| Readonly<{kind: 'answer'; id: number; reply: CallReply<unknown>}>
	| Readonly<{kind: 'closed'}>;

type Endpoint = Readonly<{peer: RpcPeer; receive(message: Message): void}>;

/** Delivers in order, and holds what arrives during a cut. */
type Pipe = Readonly<{send(message: Message): void; flush(): void}>;

const latencyMilliseconds = 5;
const connectTimeoutMilliseconds = 1000;
const livenessCheckMilliseconds = 1000;

export function createNetwork(clock: Clock): Network {
	const listeners = new Map<string, Party>();
	const cuts = new Set<string>();
	const pipes: Pipe[] = [];
	const pairOf = (host: string, other: string) => [host, other].toSorted().join(' ');

	const createPipe = (pair: string, receive: (message: Message) => void): Pipe => {
		let held: readonly Message[] = [];
		const flush = () => {
			if (!cuts.has(pair)) {
				const due = held;
				held = [];
				for (const message of due) {
					receive(message);
				}
			}
		};

		const pipe: Pipe = {
			send(message) {
				clock.schedule(latencyMilliseconds, () => {
					held = [...held, message];
					flush();
				});
			},
			flush,
		};
		pipes.push(pipe);
		return pipe;
	};

	const link = (from: Party, to: Party): RpcPeer => {
		const pair = pairOf(from.host, to.host);
		const sender = createEndpoint(to.host, from, message => {
			toReceiver.send(message);
		});
		const receiver = createEndpoint(from.host, to, message => {
			toSender.send(message);
		});
		const toReceiver = createPipe(pair, receiver.receive);
		const toSender = createPipe(pair, sender.receive);
		return sender.peer;
	};

	return {
		listen(address, party) {
			listeners.set(address, party);
		},
		async connect(address, party) {
			const target = listeners.get(address);
			const isReachable = () => target !== undefined && !cuts.has(pairOf(party.host, target.host)) && !target.process.isFrozen();
			const isRefused = isReachable() && target?.process.isKilled() === true;
			await new Promise<void>(resolve => {
				clock.schedule(isReachable() && !isRefused ? 2 * latencyMilliseconds : connectTimeoutMilliseconds, resolve);
			});
			return party.process.deliver(target === undefined || !isReachable() || target.process.isKilled() ? undefined : link(party, target));
		},
		cut(host, other) {
			cuts.add(pairOf(host, other));
		},
		heal(host, other) {
			cuts.delete(pairOf(host, other));
			for (const pipe of pipes) {
				pipe.flush();
			}
		},
	};
}

/** Creates one end of a connection, which a peer that stays silent closes. */
function createEndpoint(address: string, party: Party, send: (message: Message) => void): Endpoint {
	const {process, handle} = party;
	const {clock} = process;
	const pending = new Map<number, (reply: CallReply<never>) => void>();
	const closedListeners = new Set<(reason: string) => void>();
	let calls = 0;
	let isOpen = true;
	let lastReceivedAt = clock.monotonic();
	let pendingSince = clock.monotonic();
	const fail = (delivery: 'never-sent' | 'perhaps-sent', message: string): CallReply<never> => ({
		kind: 'failed', delivery, reason: 'connection-lost', message,
	});

	const close = (reason: string) => {
		if (!isOpen) {
			return;
		}

		isOpen = false;
		send({kind: 'closed'});
		for (const settle of pending.values()) {
			settle(fail('perhaps-sent', reason));
		}

		for (const listener of closedListeners) {
			listener(reason);
		}
	};

	const answer = async ({id, method, parameters}: Extract<Message, {kind: 'call'}>) => {
		try {
			const result = await handle(method, parameters, peer);
			send({kind: 'answer', id, reply: {kind: 'answered', result}});
		} catch (error) {
			send({kind: 'answer', id, reply: fail('perhaps-sent', String(error))});
		}
	};

	const checkLiveness = () => {
		const timeout = pending.size > 0 ? receiveTimeoutMilliseconds : idleReceiveTimeoutMilliseconds;
		if (clock.monotonic() - Math.max(lastReceivedAt, pending.size > 0 ? pendingSince : 0) >= timeout) {
			close(`no traffic for ${timeout} ms`);
		}

		if (isOpen) {
			clock.schedule(livenessCheckMilliseconds, checkLiveness);
		}
	};

	const peer: RpcPeer = {
		address,
		async call(method, parameters, timeout) {
			if (!isOpen) {
				return fail('never-sent', 'connection is not open');
			}

			const id = ++calls;
			pendingSince = pending.size === 0 ? clock.monotonic() : pendingSince;
			return new Promise(resolve => {
				const cancel = clock.schedule(timeout, () => {
					pending.delete(id);
					resolve({
						kind: 'failed', delivery: 'perhaps-sent', reason: 'timeout', message: 'timeout',
					});
				});
				pending.set(id, reply => {
					cancel();
					pending.delete(id);
					resolve(reply);
				});
				send({
					kind: 'call', id, method, parameters,
				});
			});
		},
		close,
		isOpen: () => isOpen,
		traffic: () => ({sent: 0, received: 0}),
		onClosed(listener) {
			closedListeners.add(listener);
			return () => {
				closedListeners.delete(listener);
			};
		},
	};

	process.onKilled(() => {
		if (isOpen) {
			isOpen = false;
			send({kind: 'closed'});
		}
	});
	clock.schedule(livenessCheckMilliseconds, checkLiveness);
	return {
		peer,
		receive(message) {
			process.run(() => {
				if (!isOpen) {
					return;
				}

				lastReceivedAt = clock.monotonic();
				switch (message.kind) {
					case 'call': {
						void answer(message);
						break;
					}

					case 'answer': {
						pending.get(message.id)?.(message.reply as CallReply<never>);
						break;
					}

					case 'closed': {
						close('closed by the peer');
					}
				}
			});
		},
	};
}
