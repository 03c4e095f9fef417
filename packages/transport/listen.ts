import {WebSocketServer} from 'ws';
import {maximumMessageBytes} from '#protocol';
import {maximumPeerConnections} from './constants.js';
import {createPeer} from './peer.js';
import type {PeerServices, RpcPeer} from './types.js';

export type PeerListener = Readonly<{port: number; peers(): readonly RpcPeer[]; close(): void}>;

/** Accepts connections from other processes. */
export async function listenForPeers<Context>(host: string, port: number, services: PeerServices<Context>): Promise<PeerListener> {
	const peers = new Set<RpcPeer>();
	const server = new WebSocketServer({
		host, port, maxPayload: maximumMessageBytes, perMessageDeflate: false,
	});
	server.on('connection', (socket, request) => {
		if (peers.size >= maximumPeerConnections) {
			socket.close(1013, 'too many connections');
			return;
		}

		const {remoteAddress, remotePort} = request.socket;
		const peer = createPeer(socket, `${remoteAddress ?? 'unknown'}:${remotePort ?? 0}`, services);
		peers.add(peer);
		peer.onClosed(() => {
			peers.delete(peer);
		});
	});
	await new Promise<void>((resolve, reject) => {
		server.once('listening', resolve);
		server.once('error', reject);
	});
	const address = server.address();
	return {
		port: typeof address === 'object' && address !== null ? address.port : port,
		peers: () => [...peers],
		close() {
			server.close();
			for (const peer of peers) {
				peer.close('listener closed');
			}
		},
	};
}
