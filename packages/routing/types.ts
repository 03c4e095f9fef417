import type {WorkerId} from '#core';

/** One worker that may take a request, with what the deciding entry knows about its load. */
export type Candidate = Readonly<{
	worker: WorkerId;
	slots: number;
	/** Requests that this entry has sent and not yet seen answered. */
	outstanding: number;
	/** Requests queued or running as the agent last reported. */
	reported: number;
}>;
