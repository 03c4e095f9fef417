import {write} from 'node:fs';

/** A stream of log lines that never blocks the program. */
export type LogOutput = Readonly<{write(line: string): void}>;

/** Lines that may wait for the reader; about 1 MB of usual lines. */
const maximumWaitingLines = 4000;
/** Delay before a full pipe is tried again. */
const retryMilliseconds = 20;

/**
Creates an output for log lines on a file descriptor. A reader that does not keep up loses lines instead of stopping the program; the number of lost lines is written once it reads again.

@param limit - Most lines a second; further ones are counted and left out.
*/
export function createLogOutput(descriptor: number, limit: number, now: () => number): LogOutput {
	let waiting: string[] = [];
	let isWriting = false;
	let lost = 0;
	let second = 0;
	let linesThisSecond = 0;

	const flush = () => {
		if (isWriting || waiting.length === 0) {
			return;
		}

		isWriting = true;
		writeAll(descriptor, Buffer.from(waiting.join('')), () => {
			isWriting = false;
			flush();
		});
		waiting = [];
	};

	return {
		write(line) {
			const present = Math.floor(now() / 1000);
			linesThisSecond = present === second ? linesThisSecond + 1 : 1;
			second = present;
			if (linesThisSecond > limit || waiting.length >= maximumWaitingLines) {
				lost++;
				return;
			}

			if (lost > 0) {
				waiting.push(`${JSON.stringify({
					level: 40, msg: 'log: lines were left out', lost, time: new Date(now()).toISOString(), v: 0,
				})}\n`);
				lost = 0;
			}

			waiting.push(line);
			flush();
		},
	};
}

/** Writes a buffer in as many steps as the reader allows. */
function writeAll(descriptor: number, bytes: Buffer, onDone: () => void): void {
	write(descriptor, bytes, (error, written) => {
		if (error?.code === 'EAGAIN') {
			setTimeout(() => {
				writeAll(descriptor, bytes, onDone);
			}, retryMilliseconds);
			return;
		}

		// A reader that is gone takes no more lines.
		if (error !== null || written >= bytes.length) {
			onDone();
			return;
		}

		writeAll(descriptor, bytes.subarray(written), onDone);
	});
}
