import type {Problem} from '#kernel';

/** Prefix of problem type URIs, followed by the reason. */
export const problemTypePrefix = 'urn:dotterelnotch:problem:';

/** Encodes problem details as in RFC 9457, with a `Retry-After` header if the problem has a retry delay. */
export function encodeProblem(problem: Problem): Readonly<{headers: Record<string, string>; body: string}> {
	const {status, reason, title, detail, findings, retryAfterMilliseconds, extensions} = problem;
	const headers: Record<string, string> = {'content-type': 'application/problem+json'};
	if (retryAfterMilliseconds !== undefined) {
		headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfterMilliseconds / 1000)));
	}

	const body = JSON.stringify({
		type: problemTypePrefix + reason, title, status, detail, reason, findings, retryAfterMilliseconds, ...extensions,
	});
	return {headers, body};
}
