import {v7 as createUuid} from 'uuid';
import type {Milliseconds, RandomSource} from '#core';
import type {Clock} from '#kernel';
import {createHttpClient, type HttpClient, type HttpResult} from '#transport';
import {callTimeoutMilliseconds, maximumClientConnections, requestAttemptTimeoutMilliseconds} from './constants.js';
import {decideNext, type SubmissionState} from './decide.js';
import type {
	Client, FindReply, SubmissionAnswer, SubmissionOutcome,
} from './types.js';
import {
	decodeJobStatus, decodeJobSubmission, decodeRequestStatus, decodeRequestSubmission,
} from './decode-responses.js';

export type ClientOptions = Readonly<{
	/** Attempts use the entries in turn (round robin). Example: `['http://10.0.0.7:8080']`. */
	origins: readonly [string, ...string[]];
	clock: Clock;
	random: RandomSource;
	/** Creates an identifier; a version 7 UUID by default, which non-idempotent work requires. */
	createIdentifier?: () => string;
	/** Creates the HTTP client of one origin. */
	connect?: (origin: string) => HttpClient;
}>;

type Submission<Value> = Readonly<{
	path: string;
	body: Readonly<Record<string, unknown>>;
	timeout: Milliseconds;
	decode: (result: HttpResult) => SubmissionAnswer<Value>;
}>;

/**
Creates a client that submits, queries and cancels requests and jobs.

@example
```
const client = createClient({origins: ['http://10.0.0.7:8080'], clock: systemClock, random: createRandomSource(seed)});
const outcome = await client.submitRequest({plan: 'rosters', kind: 'roster', idempotent: false, payload: {students: 12}});
switch (outcome.kind) {
	case 'completed': …
	case 'not-run': …
	case 'unknown': …
}
```
*/
export function createClient(options: ClientOptions): Client {
	const {
		origins, clock, random, createIdentifier = createUuid, connect = origin => createHttpClient(origin, maximumClientConnections),
	} = options;
	const clients = origins.map(origin => connect(origin));
	const clientOf = (attempt: number) => clients[attempt % clients.length]!;

	const submit = async <Value>(first: SubmissionState, {path, body, timeout, decode}: Submission<Value>): Promise<SubmissionOutcome<Value>> => {
		let state = first;
		for (;;) {
			const submitted = state.isUncertain ? {...body, retry: true} : body;
			const result = await clientOf(state.attempts).send('POST', path, {body: submitted, timeout});
			const decision = decideNext(state, decode(result), random);
			switch (decision.kind) {
				case 'conclude': {
					return decision.outcome;
				}

				case 'retry': {
					state = decision.state;
					await new Promise<void>(resolve => {
						clock.schedule(decision.delay, resolve);
					});
				}
			}
		}
	};

	// Queries every entry in turn: if one is unreachable or does not know the identifier, another may still know it.
	const queryEntries = async <Status>(method: 'GET' | 'DELETE', path: string, decode: (result: HttpResult) => FindReply<Status>): Promise<FindReply<Status>> => {
		let isAbsent = false;
		let message = '';
		for (const client of clients) {
			const reply = decode(await client.send(method, path, {timeout: callTimeoutMilliseconds}));
			switch (reply.kind) {
				case 'found':
				case 'invalid': {
					return reply;
				}

				case 'absent': {
					isAbsent = true;
					break;
				}

				case 'unavailable': {
					message = reply.message;
				}
			}
		}

		return isAbsent ? {kind: 'absent'} : {kind: 'unavailable', message};
	};

	const requestPath = (requestId: string) => `/v1/requests/${encodeURIComponent(requestId)}`;
	const jobPath = (jobId: string) => `/v1/jobs/${encodeURIComponent(jobId)}`;

	return {
		async submitRequest(submission, {isRetry = false} = {}) {
			const id = submission.requestId ?? createIdentifier();
			return submit({id, attempts: 0, isUncertain: isRetry}, {
				path: '/v1/requests', body: {...submission, requestId: id}, timeout: requestAttemptTimeoutMilliseconds, decode: decodeRequestSubmission,
			});
		},
		findRequest: async requestId => queryEntries('GET', requestPath(requestId), decodeRequestStatus),
		cancelRequest: async requestId => queryEntries('DELETE', requestPath(requestId), decodeRequestStatus),
		async submitJob(submission, {isRetry = false} = {}) {
			const id = submission.jobId ?? createIdentifier();
			return submit({id, attempts: 0, isUncertain: isRetry}, {
				path: '/v1/jobs', body: {...submission, jobId: id}, timeout: callTimeoutMilliseconds, decode: decodeJobSubmission,
			});
		},
		findJob: async jobId => queryEntries('GET', jobPath(jobId), decodeJobStatus),
		cancelJob: async jobId => queryEntries('DELETE', jobPath(jobId), decodeJobStatus),
		async close() {
			await Promise.all(clients.map(async client => client.close()));
		},
	};
}
