/** What callers submit and what they are told. */
import type {
	Finding, JobId, JobWork, Milliseconds, RefusalReason, RequestId, RequestWork, RunResult,
} from '#core';

/** A request without an identifier gets one; pass an identifier to submit a request again. */
export type RequestSubmission = Omit<RequestWork, 'requestId' | 'plan'> & Readonly<{requestId?: RequestId | undefined; plan: string}>;

/** A job without an identifier gets one; pass an identifier to submit a job again. */
export type JobSubmission = Omit<JobWork, 'jobId' | 'plan'> & Readonly<{jobId?: JobId | undefined; plan: string}>;

/** What became of a submission; `Value` is what a submission that succeeded gives. */
export type SubmissionOutcome<Value> =
	| Readonly<{kind: 'completed'; id: string; value: Value}>
	/** Certainly not run, by any of the attempts. */
	| Readonly<{kind: 'not-run'; id: string; reason: RefusalReason; findings: readonly Finding[]; retryAfterMilliseconds?: Milliseconds}>
	/** Ask with `findRequest` or `findJob`, or submit again under the same identifier as a retry. */
	| Readonly<{kind: 'unknown'; id: string; reason: RefusalReason}>;

/** A job as an entry describes it. */
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

/** What an entry knows about an identifier. */
export type RequestStatus =
	| Readonly<{outcome: 'completed'; requestId: string; result: RunResult}>
	| Readonly<{outcome: 'not-run'; requestId: string; reason: RefusalReason}>
	| Readonly<{outcome: 'unknown'; requestId: string; isInFlight: boolean; reason?: RefusalReason | undefined}>;

export type FindReply<Status> =
	| Readonly<{kind: 'found'; status: Status}>
	/** The entry does not know the identifier, which does not mean that the work did not run. */
	| Readonly<{kind: 'absent'}>
	| Readonly<{kind: 'invalid'; findings: readonly Finding[]}>
	| Readonly<{kind: 'unavailable'; message: string}>;

/** One answer to one submission. */
export type SubmissionAnswer<Value> =
	| Readonly<{kind: 'completed'; value: Value}>
	| Readonly<{
		kind: 'not-run';
		reason: RefusalReason;
		findings: readonly Finding[];
		retryAfterMilliseconds?: Milliseconds | undefined;
		/** Whether the answer speaks for earlier submissions of the identifier too, not only for this one. */
		coversEarlier: boolean;
	}>
	| Readonly<{kind: 'unknown'; reason: RefusalReason}>
	| Readonly<{kind: 'failed'; delivery: 'never-sent' | 'perhaps-sent'; message: string}>;

export type Client = Readonly<{
	submitRequest(submission: RequestSubmission, options?: SubmitOptions): Promise<SubmissionOutcome<RunResult>>;
	findRequest(requestId: string): Promise<FindReply<RequestStatus>>;
	/** Withdraws a request that has not started; the status says whether it had. */
	cancelRequest(requestId: string): Promise<FindReply<RequestStatus>>;
	/** Completed means that the job is recorded, not that it has ended. */
	submitJob(submission: JobSubmission, options?: SubmitOptions): Promise<SubmissionOutcome<JobStatus>>;
	findJob(jobId: string): Promise<FindReply<JobStatus>>;
	cancelJob(jobId: string): Promise<FindReply<JobStatus>>;
	close(): Promise<void>;
}>;

export type SubmitOptions = Readonly<{
	/** The identifier was submitted before, by this process or another one. */
	isRetry?: boolean;
}>;
