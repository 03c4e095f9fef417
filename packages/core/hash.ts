const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;

/** FNV-1a hash of a string's UTF-16 code units as an unsigned 32-bit number. Identical in every process. */
export function hashText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line no-bitwise, unicorn/prefer-code-point
		hash = Math.imul(hash ^ text.charCodeAt(index), prime);
	}

	// eslint-disable-next-line no-bitwise
	return hash >>> 0;
}
