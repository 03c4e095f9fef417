import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {RefusalReason} from '#core';
import type {Logger} from '#kernel';
import {createClosureLog} from './closure-log.js';
import {createConnectionTable} from './connection-table.js';
import {
	headersTimeoutMilliseconds, keepAliveTimeoutMilliseconds, maximumHeaderBytes, requestTimeoutMilliseconds, timeoutCheckIntervalMilliseconds,
} from './constants.js';
import {
	acceptConnection, type EncodedRefusal, type HttpConnection, type ListenerRefusal,
} from './http-connection.js';
import type {ListenerLimits} from './listener-limits.js';

export type HttpListener = Readonly<{
	port: number;
	/** Stops accepting connections, waits for active requests to finish, then closes the server. */
	drain(): Promise<void>;
}>;

/** Handles a request whose body was read, and ends its response. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse, text: string) => Promise<void>;

export type HttpListenerOptions = Readonly<{
	limits: ListenerLimits;
	log: Logger;
	countRefusal(reason: RefusalReason): void;
	/** Encodes what the listener refuses by itself. */
	encodeRefusal(refusal: ListenerRefusal): EncodedRefusal;
	/** Team of a request, by its headers; each team has a bounded part of the budget. */
	findTeam?(request: IncomingMessage): string | undefined;
}>;

/** Starts an HTTP server that bounds headers, bodies, connections and their sum, takes requests no faster than they are answered, and disconnects slow clients. */
export async function openHttpListener(host: string, port: number, options: HttpListenerOptions, handle: HttpHandler): Promise<HttpListener> {
	let isDraining = false;
	const activeResponses = new Set<ServerResponse>();
	const connections = new WeakMap<object, HttpConnection>();
	const now = () => performance.now();
	const closures = createClosureLog(options.log, options.countRefusal, now);
	const table = createConnectionTable(options.limits, closures, now);
	const receive = (request: IncomingMessage, response: ServerResponse, expectsContinue: boolean) => {
		if (isDraining) {
			response.setHeader('connection', 'close');
		}

		activeResponses.add(response);
		response.once('close', () => {
			activeResponses.delete(response);
		});
		connections.get(request.socket)?.receive(request, response, expectsContinue);
	};

	const server = createServer({
		headersTimeout: headersTimeoutMilliseconds,
		requestTimeout: requestTimeoutMilliseconds,
		keepAliveTimeout: keepAliveTimeoutMilliseconds,
		connectionsCheckingInterval: timeoutCheckIntervalMilliseconds,
		maxHeaderSize: maximumHeaderBytes,
	}, (request, response) => {
		receive(request, response, false);
	});
	server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
		receive(request, response, true);
	});
	// Node's HTTP server serves any stream; its own listener receives one that passes requests on one by one.
	const serveStream = server.listeners('connection');
	server.removeAllListeners('connection');
	server.on('connection', (socket: Socket) => {
		const connection = acceptConnection(socket, {
			limits: options.limits, table, closures, encodeRefusal: options.encodeRefusal, findTeam: request => options.findTeam?.(request), handle,
		});
		if (connection !== undefined) {
			connections.set(connection.stream, connection);
			for (const serve of serveStream) {
				serve.call(server, connection.stream);
			}
		}
	});
	const checks = setInterval(table.closeUnread, timeoutCheckIntervalMilliseconds).unref();
	server.once('close', () => {
		clearInterval(checks);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const address = server.address();
	return {
		port: typeof address === 'object' && address !== null ? address.port : port,
		async drain() {
			isDraining = true;
			// Otherwise a connection stays open after its last response until the keep-alive timeout.
			for (const response of activeResponses) {
				if (!response.headersSent) {
					response.setHeader('connection', 'close');
				}
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
		},
	};
}
