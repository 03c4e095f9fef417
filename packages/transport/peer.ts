import {
	JSONRPCClient, JSONRPCErrorException, JSONRPCServer, JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import * as valibot from 'valibot';
import type {WebSocket} from 'ws';
import {checkInput, parseJson, type Milliseconds} from '#core';
import {startTask, type TaskHandle} from '#kernel';
import {methods, type MethodName} from '#protocol';
import {livenessCheckIntervalMilliseconds, maximumBufferedBytes} from './constants.js';
import {
	createLivenessState, receiveLivenessMessage, type LivenessMessage, type LivenessState,
} from './liveness.js';
import type {
	CallReply, MethodParameters, MethodResult, PeerServices, RpcPeer,
} from './types.js';

const invalidParametersCode = -32_602;
const probeTimeoutMilliseconds = 10_000;

/** Wraps an open WebSocket as a JSON-RPC peer: routes its calls to the program's plug-ins and monitors its liveness. */
export function createPeer<Context>(socket: WebSocket, address: string, services: PeerServices<Context>): RpcPeer {
	const {clock, log} = services;
	const closedListeners = new Set<(reason: string) => void>();
	let closeReason: string | undefined;
	let sentBytes = 0;
	let receivedBytes = 0;

	const rpc = new JSONRPCServerAndClient<void, void>(
		new JSONRPCServer({
			errorListener(message, data) {
				log.warn({address, message, err: data}, 'JSON-RPC error');
			},
		}),
		new JSONRPCClient(message => {
			const text = JSON.stringify(message);
			sentBytes += Buffer.byteLength(text);
			socket.send(text);
			// Calls stop earlier, at the same bound; only answers to a peer that does not read them lead beyond it.
			if (socket.bufferedAmount > 2 * maximumBufferedBytes) {
				closePeer('messages are not read');
			}
		}),
	);

	const liveness: TaskHandle<LivenessState, LivenessMessage> = startTask(
		{name: 'connection', initialState: createLivenessState(clock.monotonic()), receive: receiveLivenessMessage},
		{
			clock,
			perform(effect, send) {
				switch (effect.kind) {
					case 'send-probe': {
						void peer.call('probe', {}, probeTimeoutMilliseconds);
						break;
					}

					case 'terminate': {
						closePeer(effect.reason);
						break;
					}

					case 'schedule-tick': {
						clock.schedule(livenessCheckIntervalMilliseconds, () => {
							send({kind: 'tick'});
						});
					}
				}
			},
		},
	);

	const closePeer = (reason: string) => {
		if (closeReason !== undefined) {
			return;
		}

		closeReason = reason;
		liveness.send({kind: 'closed'});
		socket.terminate();
		rpc.rejectAllPendingRequests(reason);
		for (const listener of closedListeners) {
			listener(reason);
		}
	};

	const peer: RpcPeer = {
		address,
		async call<Name extends MethodName>(method: Name, parameters: MethodParameters<Name>, timeout: Milliseconds): Promise<CallReply<MethodResult<Name>>> {
			if (closeReason !== undefined || socket.readyState !== socket.OPEN) {
				return {
					kind: 'failed', delivery: 'never-sent', reason: 'connection-lost', message: closeReason ?? 'connection is not open',
				};
			}

			if (socket.bufferedAmount > maximumBufferedBytes) {
				return {
					kind: 'failed', delivery: 'never-sent', reason: 'overloaded', message: 'send buffer is full',
				};
			}

			liveness.send({kind: 'call-sent'});
			try {
				const result: unknown = await rpc.timeout(timeout).request(method, parameters);
				const validation = checkInput(methods[method].result, result, 'result');
				return validation.kind === 'valid'
					? {kind: 'answered', result: validation.value}
					: {
						kind: 'failed', delivery: 'perhaps-sent', reason: 'invalid-request', message: JSON.stringify(validation.findings),
					};
			} catch (error) {
				const message = error instanceof Error ? error.message : String(error);
				const reason = closeReason === undefined ? 'timeout' : 'connection-lost';
				return {
					kind: 'failed', delivery: 'perhaps-sent', reason, message,
				};
			} finally {
				liveness.send({kind: 'call-ended'});
			}
		},
		close: closePeer,
		isOpen: () => closeReason === undefined && socket.readyState === socket.OPEN,
		traffic: () => ({sent: sentBytes, received: receivedBytes}),
		onClosed(listener) {
			closedListeners.add(listener);
			return () => {
				closedListeners.delete(listener);
			};
		},
	};

	// A probe is an ordinary call, so its response counts as received traffic.
	rpc.addMethod('probe', () => ({}));
	for (const method of services.registry.rpcMethods()) {
		rpc.addMethod(method.name, async (parameters: unknown) => {
			const validation = valibot.safeParse(method.parametersSchema, parameters);
			if (!validation.success) {
				throw new JSONRPCErrorException(`invalid parameters of ${method.name}`, invalidParametersCode, validation.issues.map(issue => issue.message));
			}

			return method.handle(validation.output, services.context, peer);
		});
	}

	socket.on('message', (data: Readonly<{toString(): string}>) => {
		liveness.send({kind: 'received'});
		const text = data.toString();
		receivedBytes += Buffer.byteLength(text);
		void receiveMessage(rpc, text, closePeer);
	});
	socket.on('close', () => {
		closePeer('closed by the peer');
	});
	socket.on('error', error => {
		closePeer(error.message);
	});
	liveness.send({kind: 'tick'});
	return peer;
}

async function receiveMessage(rpc: JSONRPCServerAndClient, text: string, closePeer: (reason: string) => void): Promise<void> {
	try {
		await rpc.receiveAndSend(parseJson(text));
	} catch (error) {
		closePeer(`invalid message: ${String(error)}`);
	}
}
