/** Types of the client: submissions and their outcomes. */
import type {
	Finding, JobId, JobWork, Milliseconds, RefusalReason, RequestId, RequestWork, RunResult,
} from '#core';

/** An identifier is generated if none is given; pass the same identifier to resubmit a request. */
export type RequestSubmission = Omit<RequestWork, 'requestId' | 'plan'> & Readonly<{requestId?: RequestId | undefined; plan: string}>;

/** An identifier is generated if none is given; pass the same identifier to resubmit a job. */
export type JobSubmission = Omit<JobWork, 'jobId' | 'plan'> & Readonly<{jobId?: JobId | undefined; plan: string}>;

/** The outcome of a submission; `Value` is the result of a successful one. */
export type SubmissionOutcome<Value> =
	| Readonly<{kind: 'completed'; id: string; value: Value}>
	/** No attempt ran the work. */
	| Readonly<{kind: 'not-run'; id: string; reason: RefusalReason; findings: readonly Finding[]; retryAfterMilliseconds?: Milliseconds}>
	/** Query with `findRequest` or `findJob`, or resubmit under the same identifier with `isRetry`. */
	| Readonly<{kind: 'unknown'; id: string; reason: RefusalReason}>;

/** The status of a job as reported by an entry. */
export type JobStatus = Readonly<{
	jobId: string;
	state: string;
	plan?: string | undefined;
	/** Present once the job has ended. */
	outcome?: string | undefined;
	reason?: string | undefined;
	attempt?: number | undefined;
	cancelRequested?: boolean | undefined;
	members?: unknown;
	results?: unknown;
}>;

/** The status of a request as reported by an entry. */
export type RequestStatus =
	| Readonly<{outcome: 'completed'; requestId: string; result: RunResult}>
	| Readonly<{outcome: 'not-run'; requestId: string; reason: RefusalReason}>
	| Readonly<{outcome: 'unknown'; requestId: string; isInFlight: boolean; reason?: RefusalReason | undefined}>;

export type FindReply<Status> =
	| Readonly<{kind: 'found'; status: Status}>
	/** No entry that answered has a record of the identifier; the work may have run nevertheless. */
	| Readonly<{kind: 'absent'}>
	| Readonly<{kind: 'invalid'; findings: readonly Finding[]}>
	| Readonly<{kind: 'unavailable'; message: string}>;

/** The decoded response to one attempt. */
export type SubmissionAnswer<Value> =
	| Readonly<{kind: 'completed'; value: Value}>
	| Readonly<{
		kind: 'not-run';
		reason: RefusalReason;
		findings: readonly Finding[];
		retryAfterMilliseconds?: Milliseconds | undefined;
		/** Whether the answer also holds for earlier submissions of the identifier. */
		coversEarlier: boolean;
	}>
	| Readonly<{kind: 'unknown'; reason: RefusalReason}>
	| Readonly<{kind: 'failed'; delivery: 'never-sent' | 'perhaps-sent'; message: string}>;

export type Client = Readonly<{
	submitRequest(submission: RequestSubmission, options?: SubmitOptions): Promise<SubmissionOutcome<RunResult>>;
	findRequest(requestId: string): Promise<FindReply<RequestStatus>>;
	/** Cancels a request that has not started; the returned status shows whether it had. */
	cancelRequest(requestId: string): Promise<FindReply<RequestStatus>>;
	/** `completed` means that the job is stored, not that it has ended. */
	submitJob(submission: JobSubmission, options?: SubmitOptions): Promise<SubmissionOutcome<JobStatus>>;
	findJob(jobId: string): Promise<FindReply<JobStatus>>;
	cancelJob(jobId: string): Promise<FindReply<JobStatus>>;
	close(): Promise<void>;
}>;

export type SubmitOptions = Readonly<{
	/** The identifier was submitted before, by this or another process. */
	isRetry?: boolean;
}>;
