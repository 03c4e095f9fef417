import {WebSocket} from 'ws';
import {maximumMessageBytes} from '#protocol';
import {peerConnectTimeoutMilliseconds} from './constants.js';
import {createPeer} from './peer.js';
import type {PeerServices, RpcPeer} from './types.js';

function openSocket(address: string): WebSocket | undefined {
	try {
		return new WebSocket(`ws://${address}`, {
			handshakeTimeout: peerConnectTimeoutMilliseconds, maxPayload: maximumMessageBytes, perMessageDeflate: false,
		});
	} catch {
		return undefined;
	}
}

/**
Connects to the peer listener of another process.

@param address - `host:port` of the listener.
@returns The open connection, or undefined if it failed or timed out, or if the address is not valid.
*/
export async function connectToPeer<Context>(address: string, services: PeerServices<Context>): Promise<RpcPeer | undefined> {
	const socket = openSocket(address);
	if (socket === undefined) {
		services.log.warn({address}, 'address is not valid');
		return undefined;
	}

	return new Promise(resolve => {
		socket.once('open', () => {
			resolve(createPeer(socket, address, services));
		});
		socket.once('error', error => {
			services.log.debug({address, err: error}, 'failed to open connection');
			resolve(undefined);
		});
	});
}
