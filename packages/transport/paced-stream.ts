import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';

export type PacedStream = Readonly<{
	/** Takes the place of the socket for Node's HTTP server. */
	stream: Duplex;
	/** Passes on what was held back, as far as it may be. */
	resume(): void;
	/** Bytes that are held back. */
	heldBytes(): number;
	/** Drops what was held back and reads no more. */
	stopReading(): void;
}>;

export type PacedStreamHooks = Readonly<{
	/** Whether another part may be passed on; asked before each. */
	mayPass(): boolean;
	/** Called after each part with its length. */
	onPassed(bytes: number): void;
	/** Called when bytes are held back. */
	onHeld(): void;
}>;

/** Shortest part before a blank line; a shorter one would make a body of blank lines expensive. Holds up to five requests of 25 bytes. */
const minimumPartBytes = 128;
const maximumPartBytes = 16_384;

/**
Passes the bytes of a socket on in parts that end after a blank line, and only while `mayPass` allows it. Node's HTTP parser takes every request in the bytes that it is given at once, some 600 in a read of 64 KB, and can be paused only between two reads.
*/
export function createPacedStream(socket: Socket, {mayPass, onPassed, onHeld}: PacedStreamHooks): PacedStream {
	let held: readonly Buffer[] = [];
	let hasEnded = false;
	let isPassing = false;
	let isStopped = false;
	let idleTimer: NodeJS.Timeout | undefined;

	const passNext = () => {
		const [first = Buffer.alloc(0), ...others] = held;
		const length = measurePart(first);
		held = length === first.length ? others : [first.subarray(length), ...others];
		stream.push(first.subarray(0, length));
		onPassed(length);
	};

	const pass = () => {
		if (isPassing || isStopped) {
			return;
		}

		isPassing = true;
		while (held.length > 0 && !stream.destroyed && stream.readableLength === 0 && mayPass()) {
			passNext();
		}

		isPassing = false;
		if (held.length > 0 || stream.destroyed || isStopped) {
			return;
		}

		if (hasEnded) {
			stream.push(null);
		} else if (socket.isPaused()) {
			socket.resume();
		}
	};

	const stream = new Duplex({
		decodeStrings: false,
		read: pass,
		write(chunk: string | Uint8Array, encoding, callback) {
			socket.write(chunk, encoding, callback);
		},
		writev(chunks, callback) {
			socket.cork();
			for (const [index, {chunk, encoding}] of chunks.entries()) {
				socket.write(chunk as string | Uint8Array, encoding, index === chunks.length - 1 ? callback : undefined);
			}

			socket.uncork();
		},
		final(callback) {
			socket.end(callback);
		},
		destroy(error, callback) {
			clearTimeout(idleTimer);
			held = [];
			socket.destroy();
			callback(error);
		},
	});

	Object.assign(stream, {
		remoteAddress: socket.remoteAddress,
		remotePort: socket.remotePort,
		// Node's HTTP server calls these two on a socket: the first for idle connections only, the second after the last answer.
		setTimeout(milliseconds: number) {
			clearTimeout(idleTimer);
			if (milliseconds > 0) {
				idleTimer = setTimeout(() => {
					stream.emit('timeout');
				}, milliseconds).unref();
			}
		},
		destroySoon() {
			stream.end();
			if (stream.writableFinished) {
				stream.destroy();
			} else {
				stream.once('finish', () => {
					stream.destroy();
				});
			}
		},
	});

	socket.on('data', (chunk: Buffer) => {
		if (isStopped) {
			return;
		}

		held = [...held, chunk];
		pass();
		if (held.length > 0) {
			socket.pause();
			onHeld();
		}
	});
	socket.on('end', () => {
		hasEnded = true;
		pass();
	});
	socket.on('error', error => {
		stream.destroy(error);
	});
	socket.on('close', () => {
		stream.destroy();
	});
	return {
		stream,
		resume: pass,
		heldBytes: () => held.reduce((sum, {length}) => sum + length, 0),
		stopReading() {
			isStopped = true;
			held = [];
			socket.pause();
		},
	};
}

/** Length of the next part: up to the first blank line after the minimum, since a request ends with one unless it has a body. */
function measurePart(bytes: Buffer): number {
	const window = bytes.subarray(0, maximumPartBytes);
	const ends = ['\n\r\n', '\n\n'].map(text => {
		const index = window.indexOf(text, minimumPartBytes, 'latin1');
		return index === -1 ? Infinity : index + text.length;
	});
	return Math.min(window.length, ...ends);
}
