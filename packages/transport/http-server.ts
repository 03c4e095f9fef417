import type {IncomingMessage, ServerResponse} from 'node:http';
import {checkInput} from '#core';
import type {
	HttpReply, HttpRoutePlugin, Logger, Problem,
} from '#kernel';
import {maximumBodyBytes} from './constants.js';
import {openHttpListener, readBody, type HttpListener} from './http-listener.js';
import {encodeProblem} from './problem.js';
import {matchRoute} from './route.js';

export type HttpServices<Context> = Readonly<{
	routes: ReadonlyArray<HttpRoutePlugin<Context>>;
	context: Context;
	log: Logger;
	countRefusal(reason: string): void;
}>;

/** Serves the program's HTTP routes. */
export async function listenForHttp<Context>(host: string, port: number, services: HttpServices<Context>): Promise<HttpListener> {
	return openHttpListener(host, port, async (request, response) => serve(request, response, services));
}

async function serve<Context>(request: IncomingMessage, response: ServerResponse, services: HttpServices<Context>): Promise<void> {
	try {
		writeReply(response, await route(request, response, services), services);
	} catch (error) {
		services.log.error({err: error, url: request.url}, 'request failed');
		writeReply(response, {kind: 'problem', problem: {status: 500, reason: 'internal-error', title: 'Internal error'}}, services);
	}
}

async function route<Context>(request: IncomingMessage, response: ServerResponse, services: HttpServices<Context>): Promise<HttpReply> {
	const url = new URL(request.url ?? '/', 'http://localhost');
	const match = matchRoute(services.routes, request.method ?? 'GET', url.pathname);
	switch (match.kind) {
		case 'not-found': {
			return problem({status: 404, reason: 'not-found', title: 'No such resource'});
		}

		case 'wrong-method': {
			return problem({
				status: 405, reason: 'method-not-allowed', title: 'Method not allowed', extensions: {allowed: match.allowed},
			});
		}

		case 'matched': {
			const body = await readBody(request);
			switch (body.kind) {
				case 'too-large': {
					return problem({status: 413, reason: 'body-too-large', title: `Body exceeds ${maximumBodyBytes} bytes`});
				}

				case 'aborted': {
					return problem({status: 400, reason: 'invalid-request', title: 'Body ended early'});
				}

				case 'read': {
					return handleRoute({...match, text: body.text, query: url.searchParams}, response, services);
				}
			}
		}
	}
}

type Call<Context> = Readonly<{
	route: HttpRoutePlugin<Context>;
	parameters: Readonly<Record<string, string>>;
	text: string;
	query: URLSearchParams;
}>;

async function handleRoute<Context>(
	{
		route: plugin, parameters, text, query,
	}: Call<Context>,
	response: ServerResponse,
	services: HttpServices<Context>,
): Promise<HttpReply> {
	const abort = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			abort.abort();
		}
	});
	const request = {parameters, query, signal: abort.signal};
	if (plugin.bodySchema === undefined) {
		return plugin.handle({...request, body: undefined}, services.context);
	}

	const input = parseJson(text);
	if (input === undefined) {
		return problem({
			status: 400, reason: 'invalid-request', title: 'Body is not JSON', findings: [{place: 'body', message: 'must be JSON'}],
		});
	}

	const checked = checkInput(plugin.bodySchema, input.value);
	return checked.kind === 'invalid'
		? problem({
			status: 400, reason: 'invalid-request', title: 'Request is not valid', findings: checked.findings,
		})
		: plugin.handle({...request, body: checked.value}, services.context);
}

function parseJson(text: string): Readonly<{value: unknown}> | undefined {
	try {
		return {value: JSON.parse(text)};
	} catch {
		return undefined;
	}
}

function problem(details: Problem): HttpReply {
	return {kind: 'problem', problem: details};
}

function writeReply<Context>(response: ServerResponse, reply: HttpReply, services: HttpServices<Context>): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	switch (reply.kind) {
		case 'json': {
			response.writeHead(reply.status, {'content-type': 'application/json', ...reply.headers});
			response.end(JSON.stringify(reply.body));
			break;
		}

		case 'text': {
			response.writeHead(reply.status, {'content-type': reply.contentType});
			response.end(reply.body);
			break;
		}

		case 'problem': {
			services.countRefusal(reply.problem.reason);
			const {headers, body} = encodeProblem(reply.problem);
			response.writeHead(reply.problem.status, headers);
			response.end(body);
			break;
		}
	}
}
