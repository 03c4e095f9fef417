import type {IncomingMessage, ServerResponse} from 'node:http';
import {checkInput} from '#core';
import type {
	HttpReply, HttpRoutePlugin, Logger, Problem,
} from '#kernel';
import {openHttpListener, type HttpListener} from './http-listener.js';
import type {EncodedRefusal, ListenerRefusal} from './http-connection.js';
import {defaultListenerLimits, type ListenerLimits} from './listener-limits.js';
import {encodeProblem} from './problem.js';
import {matchRoute} from './route.js';

export type HttpServices<Context> = Readonly<{
	routes: ReadonlyArray<HttpRoutePlugin<Context>>;
	context: Context;
	log: Logger;
	/** Bounds of the listener. */
	limits?: ListenerLimits;
	countRefusal(reason: string): void;
}>;

/** Starts an HTTP server for the routes of a program. */
export async function listenForHttp<Context>(host: string, port: number, services: HttpServices<Context>): Promise<HttpListener> {
	const {limits = defaultListenerLimits, log, countRefusal} = services;
	const options = {
		limits, log, countRefusal, encodeRefusal: (refusal: ListenerRefusal) => encodeListenerRefusal(refusal, limits),
	};
	return openHttpListener(host, port, options, async (request, response, text) => serveRequest({request, response, text}, services));
}

/** Delay after which a caller is asked to retry that was refused for memory. */
const retryAfterMilliseconds = 1000;

function encodeListenerRefusal({status, reason}: ListenerRefusal, {maximumBodyBytes}: ListenerLimits): EncodedRefusal {
	return encodeProblem(reason === 'body-too-large'
		? {status, reason, title: `Body exceeds ${maximumBodyBytes} bytes`}
		: {
			status, reason, title: 'Too much is being received', retryAfterMilliseconds, extensions: {outcome: 'unknown'},
		});
}

type Exchange = Readonly<{request: IncomingMessage; response: ServerResponse; text: string}>;

async function serveRequest<Context>(exchange: Exchange, services: HttpServices<Context>): Promise<void> {
	const {request, response} = exchange;
	try {
		writeReply(response, await handleRequest(exchange, services), services);
	} catch (error) {
		services.log.error({err: error, url: request.url}, 'request failed');
		writeReply(response, {kind: 'problem', problem: {status: 500, reason: 'internal-error', title: 'Internal error'}}, services);
	}
}

async function handleRequest<Context>({request, response, text}: Exchange, services: HttpServices<Context>): Promise<HttpReply> {
	const url = new URL(request.url ?? '/', 'http://localhost');
	const match = matchRoute(services.routes, request.method ?? 'GET', url.pathname);
	switch (match.kind) {
		case 'not-found': {
			return createProblemReply({status: 404, reason: 'not-found', title: 'No such resource'});
		}

		case 'wrong-method': {
			return createProblemReply({
				status: 405, reason: 'method-not-allowed', title: 'Method not allowed', extensions: {allowed: match.allowed},
			});
		}

		case 'matched': {
			return callRoute({...match, text, query: url.searchParams}, response, services);
		}
	}
}

type MatchedRequest<Context> = Readonly<{
	route: HttpRoutePlugin<Context>;
	parameters: Readonly<Record<string, string>>;
	text: string;
	query: URLSearchParams;
}>;

async function callRoute<Context>(
	{
		route: plugin, parameters, text, query,
	}: MatchedRequest<Context>,
	response: ServerResponse,
	services: HttpServices<Context>,
): Promise<HttpReply> {
	const abortController = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			abortController.abort();
		}
	});
	const request = {parameters, query, signal: abortController.signal};
	if (plugin.bodySchema === undefined) {
		return plugin.handle({...request, body: undefined}, services.context);
	}

	const parsed = parseJson(text);
	if (parsed === undefined) {
		return createProblemReply({
			status: 400, reason: 'invalid-request', title: 'Body is not JSON', findings: [{place: 'body', message: 'must be JSON'}],
		});
	}

	const validation = checkInput(plugin.bodySchema, parsed.value);
	return validation.kind === 'invalid'
		? createProblemReply({
			status: 400, reason: 'invalid-request', title: 'Request is not valid', findings: validation.findings,
		})
		: plugin.handle({...request, body: validation.value}, services.context);
}

function parseJson(text: string): Readonly<{value: unknown}> | undefined {
	try {
		return {value: JSON.parse(text)};
	} catch {
		return undefined;
	}
}

function createProblemReply(problem: Problem): HttpReply {
	return {kind: 'problem', problem};
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
