import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {
	headersTimeoutMilliseconds, keepAliveTimeoutMilliseconds, maximumBodyBytes, maximumHeaderBytes, maximumHttpConnections, requestTimeoutMilliseconds,
} from './constants.js';

export type HttpListener = Readonly<{
	port: number;
	/** Stops accepting connections, waits for active requests to finish, then closes the server. */
	drain(): Promise<void>;
}>;

export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

export type BodyResult = Readonly<{kind: 'read'; text: string}> | Readonly<{kind: 'too-large'}> | Readonly<{kind: 'aborted'}>;

/** Starts an HTTP server that bounds headers and connections and disconnects slow clients. `readBody` bounds the bodies. */
export async function openHttpListener(host: string, port: number, handle: HttpHandler): Promise<HttpListener> {
	let isDraining = false;
	const activeResponses = new Set<ServerResponse>();
	const server = createServer({
		headersTimeout: headersTimeoutMilliseconds,
		requestTimeout: requestTimeoutMilliseconds,
		keepAliveTimeout: keepAliveTimeoutMilliseconds,
		maxHeaderSize: maximumHeaderBytes,
	}, (request, response) => {
		if (isDraining) {
			response.setHeader('connection', 'close');
		}

		activeResponses.add(response);
		response.once('close', () => {
			activeResponses.delete(response);
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

/** Reads a request body up to the size limit. */
export async function readBody(request: IncomingMessage): Promise<BodyResult> {
	const chunks: Buffer[] = [];
	let length = 0;
	try {
		for await (const chunk of request) {
			const buffer = chunk as Buffer;
			length += buffer.length;
			if (length > maximumBodyBytes) {
				return {kind: 'too-large'};
			}

			chunks.push(buffer);
		}
	} catch {
		return {kind: 'aborted'};
	}

	return {kind: 'read', text: Buffer.concat(chunks).toString('utf8')};
}
