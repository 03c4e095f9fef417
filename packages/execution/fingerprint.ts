import {hashText, type RequestWork} from '#core';

/** Names the content of a request, so that another request under the same identifier is noticed without keeping the payload. */
export function fingerprintWork({plan, kind, idempotent, payload}: RequestWork): string {
	const text = JSON.stringify([plan, kind, idempotent, payload]);
	// Two 32-bit hashes with different starts; one alone would confuse unequal payloads once in four thousand million pairs.
	return `${text.length}-${hashText(text)}-${hashText(`dotterelnotch${text}`)}`;
}
