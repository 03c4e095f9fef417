import {WebSocket} from 'ws';
import {maximumMessageBytes} from '#protocol';
import {peerConnectTimeoutMilliseconds} from './constants.js';
import {createPeer} from './peer.js';
import type {PeerServices, RpcPeer} from './types.js';

/**
Connects to another process of the system.

@param address - `host:port` of its peer listener.
@returns The open connection, or undefined if none could be opened in time.
*/
export async function connectToPeer<Context>(address: string, services: PeerServices<Context>): Promise<RpcPeer | undefined> {
	const socket = new WebSocket(`ws://${address}`, {
		handshakeTimeout: peerConnectTimeoutMilliseconds, maxPayload: maximumMessageBytes, perMessageDeflate: false,
	});
	return new Promise(resolve => {
		socket.once('open', () => {
			resolve(createPeer(socket, address, services));
		});
		socket.once('error', error => {
			services.log.debug({address, err: error}, 'connection could not be opened');
			resolve(undefined);
		});
	});
}
