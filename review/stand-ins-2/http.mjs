/** Small HTTP helpers of the stand-ins. */
import {Buffer} from 'node:buffer';
import {createServer, request as openRequest} from 'node:http';

export async function listen(host, port, handle) {
	const server = createServer(async (request, response) => {
		try {
			await handle(request, response);
		} catch {
			// A connection that closed while a request arrived gets no answer.
			response.destroy();
		}
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return server;
}

export async function readJson(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

export function reply(response, status, body) {
	if (!response.destroyed && !response.headersSent) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}
}

/** Sends a request on a connection of its own and returns the status and the body of the answer; throws if there is none in time. */
export async function sendRequest(address, {method, path, headers, body, timeout}) {
	const separator = address.lastIndexOf(':');
	const text = body === undefined ? '' : JSON.stringify(body);
	return new Promise((resolve, reject) => {
		const request = openRequest({
			host: address.slice(0, separator),
			port: Number(address.slice(separator + 1)),
			method,
			path,
			headers: {...headers, ...(body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)})},
			agent: false,
			signal: AbortSignal.timeout(timeout),
		}, async response => {
			try {
				resolve({status: response.statusCode, body: await readJson(response)});
			} catch (error) {
				reject(error);
			}
		});
		request.once('error', reject);
		request.end(text);
	});
}
