import {Buffer} from 'node:buffer';

export type BodyBuffer = Readonly<{
	append(chunk: Uint8Array): void;
	/** Bytes received. */
	length(): number;
	/** Bytes of memory. */
	capacity(): number;
	/** Returns the bytes as text and frees them. */
	take(): string;
	clear(): void;
}>;

const initialCapacity = 512;
const empty = Buffer.alloc(0);

/**
Joins the chunks of a body as they arrive. A chunk that is kept costs an object and the whole buffer that it was read with, so that a body of one-byte chunks took a hundred times its length.

@param maximumBytes - The capacity does not grow beyond it; the caller appends no more than that.
*/
export function createBodyBuffer(maximumBytes: number): BodyBuffer {
	let bytes = empty;
	let length = 0;
	const clear = () => {
		bytes = empty;
		length = 0;
	};

	return {
		append(chunk) {
			const needed = length + chunk.length;
			if (needed > bytes.length) {
				const grown = Buffer.allocUnsafeSlow(Math.max(needed, Math.min(maximumBytes, Math.max(initialCapacity, bytes.length * 2))));
				bytes.copy(grown, 0, 0, length);
				bytes = grown;
			}

			bytes.set(chunk, length);
			length = needed;
		},
		length: () => length,
		capacity: () => bytes.length,
		take() {
			const text = bytes.toString('utf8', 0, length);
			clear();
			return text;
		},
		clear,
	};
}
