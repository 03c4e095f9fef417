import {write} from 'node:fs';

/** A non-blocking stream of log lines. */
export type LogOutput = Readonly<{write(line: string): void}>;

/** Buffer capacity in lines; about 1 MB of typical lines. */
const maximumBufferedLines = 4000;
/** Bound for lines that are longer; a line with findings or a path of a caller holds up to 200 KB. */
const maximumBufferedCharacters = 2_000_000;
/** Delay before a write to a full pipe is retried. */
const retryMilliseconds = 20;

/**
Creates a log output on a file descriptor. If the reader falls behind, lines are dropped instead of blocking the program; the number of dropped lines is logged as soon as lines are accepted again.

@param linesPerSecond - Rate limit; lines above it are dropped and counted.
*/
export function createLogOutput(descriptor: number, linesPerSecond: number, now: () => number): LogOutput {
	let buffered: string[] = [];
	let bufferedCharacters = 0;
	let isWriting = false;
	let droppedLines = 0;
	let lastSecond = 0;
	let linesInSecond = 0;

	const flush = () => {
		if (isWriting || buffered.length === 0) {
			return;
		}

		isWriting = true;
		writeAll(descriptor, Buffer.from(buffered.join('')), () => {
			isWriting = false;
			flush();
		});
		buffered = [];
		bufferedCharacters = 0;
	};

	return {
		write(line) {
			const currentSecond = Math.floor(now() / 1000);
			linesInSecond = currentSecond === lastSecond ? linesInSecond + 1 : 1;
			lastSecond = currentSecond;
			if (linesInSecond > linesPerSecond || buffered.length >= maximumBufferedLines || bufferedCharacters >= maximumBufferedCharacters) {
				droppedLines++;
				return;
			}

			if (droppedLines > 0) {
				buffered.push(`${JSON.stringify({
					level: 40, msg: 'log: lines were left out', lost: droppedLines, time: new Date(now()).toISOString(), v: 0,
				})}\n`);
				droppedLines = 0;
			}

			buffered.push(line);
			bufferedCharacters += line.length;
			flush();
		},
	};
}

/** Writes a whole buffer, in several writes if the pipe accepts only part of it. */
function writeAll(descriptor: number, bytes: Buffer, onDone: () => void): void {
	write(descriptor, bytes, (error, written) => {
		if (error?.code === 'EAGAIN') {
			setTimeout(() => {
				writeAll(descriptor, bytes, onDone);
			}, retryMilliseconds);
			return;
		}

		// After any other error the reader is gone and the rest of the buffer is discarded.
		if (error !== null || written >= bytes.length) {
			onDone();
			return;
		}

		writeAll(descriptor, bytes.subarray(written), onDone);
	});
}
