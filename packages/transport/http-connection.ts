/** One connection of an HTTP listener: takes one request at a time, within the bounds of the listener. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {RefusalReason} from '#core';
import type {ConnectionPhase} from '#limits';
import {createBodyBuffer} from './body-buffer.js';
import type {ClosureLog} from './closure-log.js';
import type {ConnectionTable} from './connection-table.js';
import type {ListenerLimits} from './listener-limits.js';
import {createPacedStream} from './paced-stream.js';

/** A request that the listener refuses by itself. For want of room it says 504: this attempt does not run, but an earlier one may have been accepted, which only the handler could tell. */
export type ListenerRefusal = Readonly<{status: 413 | 504; reason: RefusalReason}>;
export type EncodedRefusal = Readonly<{headers: Readonly<Record<string, string>>; body: string}>;

export type HttpConnectionOptions = Readonly<{
	limits: ListenerLimits;
	table: ConnectionTable;
	closures: ClosureLog;
	encodeRefusal(refusal: ListenerRefusal): EncodedRefusal;
	findTeam(request: IncomingMessage): string | undefined;
	/** Handles a whole request and ends its response. */
	handle(request: IncomingMessage, response: ServerResponse, text: string): Promise<void>;
}>;

export type HttpConnection = Readonly<{
	/** Takes the place of the socket for Node's HTTP server. */
	stream: Duplex;
	receive(request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): void;
}>;

type Exchange = Readonly<{request: IncomingMessage; response: ServerResponse; expectsContinue: boolean}>;

/** Requests that are taken while an earlier one waits for its answer; further ones are not parsed. */
const maximumRequestsAhead = 1;
/** Unread bytes of a body above which no more is parsed. */
const maximumUnreadBodyBytes = 16_384;
/** Time in which the client of a refused request may read the refusal before the connection is closed. */
const lingerMilliseconds = 1000;

const statusTexts = {413: 'Payload Too Large', 504: 'Gateway Timeout'} as const;

/** Accepts a connection; undefined if it is refused. */
export function acceptConnection(socket: Socket, {limits, table, closures, encodeRefusal, findTeam, handle}: HttpConnectionOptions): HttpConnection | undefined {
	const exchanges: Exchange[] = [];
	const body = createBodyBuffer(limits.maximumBodyBytes);
	let phase: ConnectionPhase = 'idle';
	let team: string | undefined;
	let hasBeenServed = false;
	/** Of a request whose headers are incomplete. */
	let headerBytes = 0;
	/** Of the text of a request that is being handled. */
	let textBytes = 0;
	let unreadBytes = 0;
	const remote = socket.remoteAddress ?? 'unknown';

	const mayPass = () => {
		const [first] = exchanges;
		return first === undefined || (exchanges.length <= maximumRequestsAhead && !first.request.complete && first.request.readableLength <= maximumUnreadBodyBytes);
	};

	const report = () => {
		const releasableBytes = body.capacity() + headerBytes + unreadBytes + paced.heldBytes();
		table.update(number, {
			phase, team, releasableBytes, bytes: releasableBytes + textBytes, hasBeenServed,
		});
	};

	const paced = createPacedStream(socket, {
		mayPass,
		onPassed(bytes) {
			if (exchanges.length === 0 && phase !== 'closing') {
				headerBytes += bytes;
				phase = 'receiving';
				report();
			}
		},
		onHeld: report,
	});
	const {stream} = paced;

	/** Answers without the HTTP server, whose response would wait for the rest of the request. */
	const refuse = (refusal: ListenerRefusal) => {
		const {headers, body: text} = encodeRefusal(refusal);
		const lines = Object.entries({...headers, connection: 'close', 'content-length': String(Buffer.byteLength(text))}).map(([name, value]) => `${name}: ${value}\r\n`);
		phase = 'closing';
		paced.stopReading();
		body.clear();
		headerBytes = 0;
		report();
		socket.end(`HTTP/1.1 ${refusal.status} ${statusTexts[refusal.status]}\r\n${lines.join('')}\r\n${text}`);
		setTimeout(() => {
			stream.destroy();
		}, lingerMilliseconds).unref();
	};

	const refuseTooLarge = () => {
		closures.record('body-too-large', {remote, bytes: body.length(), milliseconds: 0});
		refuse({status: 413, reason: 'body-too-large'});
	};

	const close = (reason: RefusalReason) => {
		switch (phase) {
			case 'receiving': {
				refuse({status: 504, reason});
				break;
			}

			case 'idle':
			case 'handling':
			case 'answering':
			case 'closing': {
				stream.destroy();
			}
		}
	};

	const handleWhole = async ({request, response}: Exchange) => {
		textBytes = body.length();
		const text = body.take();
		phase = 'handling';
		report();
		await handle(request, response, text);
		if (response.writableEnded && !response.writableFinished && !stream.destroyed) {
			phase = 'answering';
			unreadBytes = response.writableLength;
			textBytes = 0;
			report();
		}
	};

	const start = (exchange: Exchange) => {
		const {request, response, expectsContinue} = exchange;
		phase = 'receiving';
		headerBytes = 0;
		team = findTeam(request);
		if (Number(request.headers['content-length'] ?? 0) > limits.maximumBodyBytes) {
			refuseTooLarge();
			return;
		}

		if (expectsContinue) {
			response.writeContinue();
		}

		request.on('data', (chunk: Uint8Array) => {
			if (phase !== 'receiving') {
				return;
			}

			if (body.length() + chunk.length > limits.maximumBodyBytes) {
				refuseTooLarge();
				return;
			}

			const capacity = body.capacity();
			body.append(chunk);
			if (body.capacity() !== capacity) {
				report();
			}

			paced.resume();
		});
		request.once('end', () => {
			if (phase === 'receiving') {
				void handleWhole(exchange);
			}
		});
		// The connection is gone, and with it the exchange.
		request.on('error', () => undefined);
		report();
	};

	const finish = () => {
		exchanges.shift();
		phase = 'idle';
		hasBeenServed = true;
		textBytes = 0;
		unreadBytes = 0;
		const [next] = exchanges;
		if (next === undefined) {
			report();
		} else {
			start(next);
		}

		paced.resume();
	};

	const added = table.add({remote, close});
	if (added === undefined) {
		socket.destroy();
		return undefined;
	}

	const number = added;
	stream.once('close', () => {
		body.clear();
		table.remove(number);
	});
	return {
		stream,
		receive(request, response, expectsContinue) {
			exchanges.push({request, response, expectsContinue});
			response.once('finish', () => {
				if (phase !== 'closing') {
					finish();
				}
			});
			const [first] = exchanges;
			if (exchanges.length === 1 && first !== undefined && phase !== 'closing') {
				start(first);
			}
		},
	};
}
