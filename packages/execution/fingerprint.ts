import {hashText, type RequestWork} from '#core';

/** Fingerprints the content of a request, so that reuse of its identifier for another request is detected without storing the payload. */
export function fingerprintWork({plan, kind, idempotent, payload}: RequestWork): string {
	const text = JSON.stringify([plan, kind, idempotent, payload]);
	// Two 32-bit hashes, the second of the text with a prefix; a single one would collide for one in four billion pairs of different payloads.
	return `${text.length}-${hashText(text)}-${hashText(`dotterelnotch${text}`)}`;
}
