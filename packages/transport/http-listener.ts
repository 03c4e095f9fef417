import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {
	headersTimeoutMilliseconds, keepAliveTimeoutMilliseconds, maximumBodyBytes, maximumHeaderBytes, maximumHttpConnections, requestTimeoutMilliseconds,
} from './constants.js';

export type HttpListener = Readonly<{
	port: number;
	/** Takes no new connections, waits for requests in service, then closes. */
	drain(): Promise<void>;
}>;

export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

export type BodyResult = Readonly<{kind: 'read'; text: string}> | Readonly<{kind: 'too-large'}> | Readonly<{kind: 'aborted'}>;

/** Opens a server for HTTP. Bodies, headers and connections are bounded and slow senders time out. */
export async function openHttpListener(host: string, port: number, handle: HttpHandler): Promise<HttpListener> {
	let isDraining = false;
	const active = new Set<ServerResponse>();
	const server = createServer({
		headersTimeout: headersTimeoutMilliseconds,
		requestTimeout: requestTimeoutMilliseconds,
		keepAliveTimeout: keepAliveTimeoutMilliseconds,
		maxHeaderSize: maximumHeaderBytes,
	}, (request, response) => {
		if (isDraining) {
			response.setHeader('connection', 'close');
		}

		active.add(response);
		response.once('close', () => {
			active.delete(response);
		});
		void handle(request, response);
	});
	server.maxConnections = maximumHttpConnections;
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const address = server.address();
	return {
		port: typeof address === 'object' && address !== null ? address.port : port,
		async drain() {
			isDraining = true;
			// Without this, a connection stays open after its last answer until its keep-alive time is over.
			for (const response of active) {
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

/** Reads a whole body within the bound. */
export async function readBody(request: IncomingMessage): Promise<BodyResult> {
	const chunks: Buffer[] = [];
	let length = 0;
	try {
		for await (const chunk of request) {
			const bytes = chunk as Buffer;
			length += bytes.length;
			if (length > maximumBodyBytes) {
				return {kind: 'too-large'};
			}

			chunks.push(bytes);
		}
	} catch {
		return {kind: 'aborted'};
	}

	return {kind: 'read', text: Buffer.concat(chunks).toString('utf8')};
}
