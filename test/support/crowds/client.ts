/** Crowds of clients that keep to no limit. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {apiKey, queueHost} from '../platform/caller.js';

/** What each client of a crowd sends before it stays connected. */
export type Behaviour =
	/** A chunked body of this many bytes, in chunks of the given size; its end never comes. */
	| Readonly<{kind: 'unfinished-chunks'; bytes: number; chunkBytes: number}>
	/** A part of a body that was announced with more bytes. */
	| Readonly<{kind: 'announced'; announcedBytes: number; sentBytes: number}>
	/** Requests in a row, whose answers are never read. Each names a job of its own. */
	| Readonly<{kind: 'pipelined'; requests: number; method: 'GET' | 'POST'}>
	/** A whole body of this many steps, none of which fits the schema. */
	| Readonly<{kind: 'wrong-steps'; steps: number; step: '0' | '{}'}>
	/** Nothing. */
	| Readonly<{kind: 'silent'}>;

export type Crowd = Readonly<{
	/** Resolves once each client has sent everything or lost its connection, or at the timeout. */
	settle(): Promise<void>;
	close(): void;
}>;

type Target = Readonly<{address: string; method: 'POST' | 'PUT'; path: string}>;

const settleMilliseconds = 6000;
/** Time in which a program processes what it was sent last. */
const processingMilliseconds = 3000;

function writeHead(method: string, path: string, header: string): string {
	return `${method} ${path} HTTP/1.1\r\nhost: ${queueHost}\r\napi-key: ${apiKey}\r\ncontent-type: application/json\r\n${header}\r\n`;
}

const submission = '{"spec":"","steps":[{"count":1,"cpu":1000,"mem_mb":100,"gpus":1,"estimate_ms":100}]}';

function writePipelined(client: number, index: number, method: 'GET' | 'POST'): string {
	const key = ((client * 1_000_000) + index).toString(16).padStart(16, '0');
	return method === 'GET' ? writeHead('GET', `/batch/${key}`, '') : `${writeHead('POST', `/batch/${key}`, `content-length: ${submission.length}\r\n`)}${submission}`;
}

function * listParts(behaviour: Behaviour, {method, path}: Target, client: number): Generator<string | Buffer> {
	switch (behaviour.kind) {
		case 'unfinished-chunks': {
			yield writeHead(method, path, 'transfer-encoding: chunked\r\n');
			const chunk = Buffer.from(`${behaviour.chunkBytes.toString(16)}\r\n${' '.repeat(behaviour.chunkBytes)}\r\n`);
			for (let sent = 0; sent < behaviour.bytes; sent += behaviour.chunkBytes) {
				yield chunk;
			}

			break;
		}

		case 'announced': {
			yield writeHead(method, path, `content-length: ${behaviour.announcedBytes}\r\n`);
			yield Buffer.alloc(behaviour.sentBytes, ' ');
			break;
		}

		case 'pipelined': {
			for (let index = 0; index < behaviour.requests; index++) {
				yield writePipelined(client, index, behaviour.method);
			}

			break;
		}

		case 'wrong-steps': {
			const body = `{"steps":[${Array.from({length: behaviour.steps}, () => behaviour.step).join(',')}]}`;
			yield writeHead(method, path, `content-length: ${body.length}\r\n`);
			yield body;
			break;
		}

		case 'silent': {
			break;
		}
	}
}

function startClient(target: Target, behaviour: Behaviour, client: number): Readonly<{socket: Socket; sent: Promise<void>}> {
	const [host = '', port = ''] = target.address.split(':');
	const socket = connect({host, port: Number(port), noDelay: true});
	socket.on('error', () => undefined);
	// Answers stay unread.
	socket.pause();
	const sent = new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
		socket.once('connect', () => {
			socket.cork();
			let corked = 0;
			for (const part of listParts(behaviour, target, client)) {
				socket.write(part);
				corked += part.length;
				if (corked > 65_536) {
					socket.uncork();
					socket.cork();
					corked = 0;
				}
			}

			socket.uncork();
			socket.write('', () => {
				resolve();
			});
		});
	});
	return {socket, sent};
}

async function sleep(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Connects the clients of a crowd. */
export function startCrowd(target: Target, behaviour: Behaviour, size: number): Crowd {
	const clients = Array.from({length: size}, (_, client) => startClient(target, behaviour, client));
	return {
		async settle() {
			await Promise.race([Promise.all(clients.map(async ({sent}) => sent)), sleep(settleMilliseconds)]);
			await sleep(processingMilliseconds);
		},
		close() {
			for (const {socket} of clients) {
				socket.destroy();
			}
		},
	};
}
