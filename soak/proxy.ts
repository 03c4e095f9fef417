/** TCP proxy on loopback that can delay, drop or reset traffic. */
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import type {LinkMode} from './types.js';

const delayMilliseconds = 250;

export type FaultProxy = Readonly<{
	address: string;
	setMode(mode: LinkMode): void;
	close(): Promise<void>;
}>;

type Connection = Readonly<{client: Socket; upstream: Socket; mode: {current: LinkMode; hasLostBytes: boolean}}>;

/** Opens a proxy on `host` that forwards to `target` (host:port). */
export async function openProxy(host: string, target: string): Promise<FaultProxy> {
	const connections = new Set<Connection>();
	/** All open sockets; tracked apart from `connections`, which drops a connection as soon as one of its sockets closes. */
	const sockets = new Set<Socket>();
	let mode: LinkMode = 'passing';
	const separator = target.lastIndexOf(':');
	const server = createServer(client => {
		const upstream = connect({host: target.slice(0, separator), port: Number(target.slice(separator + 1))});
		const connection: Connection = {client, upstream, mode: {current: mode, hasLostBytes: false}};
		connections.add(connection);
		relay(client, upstream, connection, false);
		relay(upstream, client, connection, true);
		if (mode === 'reset') {
			destroy(connection);
		}
	});

	const destroy = ({client, upstream}: Connection) => {
		client.resetAndDestroy();
		upstream.destroy();
	};

	const relay = (from: Socket, to: Socket, connection: Connection, isResponse: boolean) => {
		from.on('data', data => {
			if (isDropped(connection, isResponse)) {
				// Dropped bytes cannot be recovered, so the connection stays silent in both directions, whatever the later mode.
				connection.mode.hasLostBytes = true;
				return;
			}

			if (connection.mode.current === 'delayed') {
				setTimeout(() => {
					if (to.writable) {
						to.write(data);
					}
				}, delayMilliseconds);
			} else {
				to.write(data);
			}
		});
		from.on('error', () => {
			to.destroy();
		});
		sockets.add(from);
		from.on('close', () => {
			sockets.delete(from);
			connections.delete(connection);
			to.end();
		});
	};

	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${(server.address() as AddressInfo).port}`,
		setMode(next) {
			mode = next;
			for (const connection of connections) {
				connection.mode.current = next;
				if (next === 'reset') {
					destroy(connection);
				}
			}
		},
		async close() {
			const closed = new Promise(resolve => {
				server.close(resolve);
			});
			for (const socket of sockets) {
				socket.destroy();
			}

			await closed;
		},
	};
}

function isDropped({mode}: Connection, isResponse: boolean): boolean {
	return mode.hasLostBytes || mode.current === 'silent' || (mode.current === 'one-way' && isResponse);
}
