import type {RefusalReason} from '#core';
import type {JobRecord} from './types.js';

/** Status of a job as reported to its caller. */
export type JobStatus = Readonly<{
	jobId: string;
	plan: string;
	state: JobRecord['state']['kind'];
	/** Present once the job has ended. */
	outcome?: 'completed' | 'not-run' | 'unknown' | 'stopped';
	reason?: RefusalReason;
	cancelRequested: boolean;
	attempt: number;
	submittedAt: number;
	members?: ReadonlyArray<Readonly<{member: number; worker: string; accelerators: readonly number[]}>>;
	results?: readonly unknown[];
}>;

/**
Describes a job to its caller.

The outcome is `not-run` only if no member ever started; a cancelled job that had started is `stopped`.

@param waitingFor - Why a queued job has not been placed.
*/
export function describeJob(record: JobRecord, waitingFor?: RefusalReason): JobStatus {
	const {work, state, attempt, submittedAt, cancelRequested, hasStarted} = record;
	const common = {
		jobId: work.jobId, plan: work.plan, state: state.kind, cancelRequested, attempt, submittedAt,
	};
	switch (state.kind) {
		case 'queued': {
			return waitingFor === undefined ? common : {...common, reason: waitingFor};
		}

		case 'placing':
		case 'running': {
			const members = state.members.map(({member, place, accelerators}) => ({member, worker: place.worker, accelerators}));
			return {...common, members};
		}

		case 'finished': {
			return {...common, outcome: 'completed', results: state.results};
		}

		case 'failed': {
			return {
				...common, outcome: state.results.length > 0 ? 'completed' : (hasStarted ? 'stopped' : 'not-run'), reason: state.reason, results: state.results,
			};
		}

		case 'cancelled': {
			return {...common, outcome: hasStarted ? 'stopped' : 'not-run', reason: 'cancelled'};
		}

		case 'unknown': {
			return {...common, outcome: 'unknown', reason: state.reason};
		}
	}
}
