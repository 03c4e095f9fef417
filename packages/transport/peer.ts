import {
	JSONRPCClient, JSONRPCErrorException, JSONRPCServer, JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import * as valibot from 'valibot';
import type {WebSocket} from 'ws';
import {checkInput, type Milliseconds} from '#core';
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

/** Wraps an open WebSocket as a peer: answers its calls with the program's plug-ins and watches it for silence. */
export function createPeer<Context>(socket: WebSocket, address: string, services: PeerServices<Context>): RpcPeer {
	const {clock, log} = services;
	const closedListeners = new Set<(reason: string) => void>();
	let closeReason: string | undefined;
	let sentBytes = 0;
	let receivedBytes = 0;

	const rpc = new JSONRPCServerAndClient<void, void>(
		new JSONRPCServer({
			errorListener(message, data) {
				log.warn({address, message, err: data}, 'call failed');
			},
		}),
		new JSONRPCClient(message => {
			const text = JSON.stringify(message);
			sentBytes += Buffer.byteLength(text);
			socket.send(text);
		}),
	);

	const silence: TaskHandle<LivenessState, LivenessMessage> = startTask(
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
						finish(effect.reason);
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

	const finish = (reason: string) => {
		if (closeReason !== undefined) {
			return;
		}

		closeReason = reason;
		silence.send({kind: 'closed'});
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

			silence.send({kind: 'call-sent'});
			try {
				const result: unknown = await rpc.timeout(timeout).request(method, parameters);
				const checked = checkInput(methods[method].result, result, 'result');
				return checked.kind === 'valid'
					? {kind: 'answered', result: checked.value}
					: {
						kind: 'failed', delivery: 'perhaps-sent', reason: 'invalid-request', message: JSON.stringify(checked.findings),
					};
			} catch (error) {
				const message = error instanceof Error ? error.message : String(error);
				const reason = closeReason === undefined ? 'timeout' : 'connection-lost';
				return {
					kind: 'failed', delivery: 'perhaps-sent', reason, message,
				};
			} finally {
				silence.send({kind: 'call-ended'});
			}
		},
		close: finish,
		isOpen: () => closeReason === undefined && socket.readyState === socket.OPEN,
		traffic: () => ({sent: sentBytes, received: receivedBytes}),
		onClosed(listener) {
			closedListeners.add(listener);
			return () => {
				closedListeners.delete(listener);
			};
		},
	};

	// A probe is a call like any other, so that its answer counts as traffic.
	rpc.addMethod('probe', () => ({}));
	for (const method of services.registry.rpcMethods()) {
		rpc.addMethod(method.name, async (parameters: unknown) => {
			const checked = valibot.safeParse(method.parametersSchema, parameters);
			if (!checked.success) {
				throw new JSONRPCErrorException(`invalid parameters of ${method.name}`, invalidParametersCode, checked.issues.map(issue => issue.message));
			}

			return method.handle(checked.output, services.context, peer);
		});
	}

	socket.on('message', (data: Readonly<{toString(): string}>) => {
		silence.send({kind: 'received'});
		const text = data.toString();
		receivedBytes += Buffer.byteLength(text);
		void receiveMessage(rpc, text, finish);
	});
	socket.on('close', () => {
		finish('closed by the other side');
	});
	socket.on('error', error => {
		finish(error.message);
	});
	silence.send({kind: 'tick'});
	return peer;
}

async function receiveMessage(rpc: JSONRPCServerAndClient, text: string, finish: (reason: string) => void): Promise<void> {
	try {
		await rpc.receiveAndSend(JSON.parse(text));
	} catch (error) {
		finish(`message cannot be read: ${String(error)}`);
	}
}
