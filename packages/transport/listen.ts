import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {WebSocketServer, type WebSocket} from 'ws';
import {maximumMessageBytes} from '#protocol';
import {createClosureLog} from './closure-log.js';
import {createConnectionTable, type ConnectionTable} from './connection-table.js';
import {
	headersTimeoutMilliseconds, maximumFragments, maximumHeaderBytes, maximumPartialChunks, peerCheckIntervalMilliseconds, timeoutCheckIntervalMilliseconds,
} from './constants.js';
import {defaultPeerLimits, type PeerLimits} from './listener-limits.js';
import {createPeer} from './peer.js';
import type {PeerServices, RpcPeer} from './types.js';

export type PeerListener = Readonly<{port: number; peers(): readonly RpcPeer[]; close(): void}>;

/** What a listener needs beside the services of its peers. */
export type PeerListenerServices<Context> = PeerServices<Context> & Readonly<{limits?: PeerLimits; countRefusal?(reason: string): void}>;

/** Accepts connections from other processes. */
export async function listenForPeers<Context>(host: string, port: number, services: PeerListenerServices<Context>): Promise<PeerListener> {
	const {limits = defaultPeerLimits, countRefusal = () => undefined} = services;
	const peers = new Set<RpcPeer>();
	const now = () => performance.now();
	const closures = createClosureLog(services.log, countRefusal, now);
	const table = createConnectionTable({
		maximumConnections: limits.maximumConnections, budgetBytes: limits.budgetBytes, teamBytes: limits.budgetBytes, unreadAnswerMilliseconds: Infinity,
	}, closures, now);
	const http = createHandshakeServer();
	const handshakes = boundHandshakes(http, limits.handshakeConnections, remote => {
		closures.record('connection-replaced', {remote, bytes: 0, milliseconds: 0});
	});
	const options = {
		server: http, maxPayload: maximumMessageBytes, perMessageDeflate: false, maxFragments: maximumFragments, maxBufferedChunks: maximumPartialChunks,
	};
	const server = new WebSocketServer(options);
	server.on('connection', (socket, request) => {
		handshakes.delete(request.socket);
		if (peers.size >= limits.maximumConnections) {
			closures.record('too-many-connections', {remote: request.socket.remoteAddress ?? 'unknown', bytes: 0, milliseconds: 0});
			socket.close(1013, 'too many connections');
			return;
		}

		const {remoteAddress, remotePort} = request.socket;
		const peer = createPeer(socket, `${remoteAddress ?? 'unknown'}:${remotePort ?? 0}`, services);
		peers.add(peer);
		const stopTracking = trackPeer({socket, connection: request.socket, peer}, table);
		peer.onClosed(() => {
			peers.delete(peer);
			stopTracking();
		});
	});
	await new Promise<void>((resolve, reject) => {
		http.once('listening', resolve);
		server.once('error', reject);
		http.listen(port, host);
	});
	const address = http.address();
	return {
		port: typeof address === 'object' && address !== null ? address.port : port,
		peers: () => [...peers],
		close() {
			server.close();
			http.close();
			for (const peer of peers) {
				peer.close('listener closed');
			}

			for (const socket of handshakes) {
				socket.destroy();
			}
		},
	};
}

/** Answers every request that is not a handshake, and closes its connection. */
function createHandshakeServer(): Server {
	return createServer({
		headersTimeout: headersTimeoutMilliseconds,
		requestTimeout: headersTimeoutMilliseconds,
		connectionsCheckingInterval: timeoutCheckIntervalMilliseconds,
		maxHeaderSize: maximumHeaderBytes,
	}, (_request, response) => {
		response.writeHead(426, {connection: 'close'});
		response.end();
	});
}

/** Closes the oldest connection without a handshake in favour of a new one, once there are as many as there may be. */
function boundHandshakes(server: Server, maximum: number, onReplaced: (remote: string) => void): Set<Socket> {
	const handshakes = new Set<Socket>();
	server.on('connection', (socket: Socket) => {
		const [oldest] = handshakes;
		if (handshakes.size >= maximum && oldest !== undefined) {
			handshakes.delete(oldest);
			onReplaced(oldest.remoteAddress ?? 'unknown');
			oldest.destroy();
		}

		handshakes.add(socket);
		socket.once('close', () => {
			handshakes.delete(socket);
		});
	});
	return handshakes;
}

type PeerSocket = Readonly<{socket: WebSocket; connection: Socket; peer: RpcPeer}>;

/** Reports what a connection holds: the bytes since its last whole message, and those that its peer has not read. */
function trackPeer({socket, connection, peer}: PeerSocket, table: ConnectionTable): () => void {
	const number = table.add({
		remote: peer.address,
		close(reason) {
			peer.close(reason);
		},
	});
	if (number === undefined) {
		peer.close('too many connections');
		return () => undefined;
	}

	let bytesOfMessages = connection.bytesRead;
	const report = () => {
		const received = connection.bytesRead - bytesOfMessages;
		const bytes = received + socket.bufferedAmount;
		table.update(number, {
			phase: received > 0 ? 'receiving' : (socket.bufferedAmount > 0 ? 'answering' : 'idle'), team: undefined, bytes, releasableBytes: bytes, hasBeenServed: true,
		});
	};

	socket.on('message', () => {
		bytesOfMessages = connection.bytesRead;
		report();
	});
	connection.on('data', report);
	const checks = setInterval(report, peerCheckIntervalMilliseconds).unref();
	return () => {
		clearInterval(checks);
		connection.off('data', report);
		table.remove(number);
	};
}
