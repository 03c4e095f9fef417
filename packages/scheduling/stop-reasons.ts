/** Why the scheduler orders the stop of runs, and the reasons by which lost work is counted. */
import {assertNever, type Milliseconds} from '#core';
import type {JobKey, RunEnding} from '#jobs';
import type {Rank} from './rank.js';

/**
Why runs are stopped.

- `preempted`: their room goes to a job of a higher rank.
- `member-ended`, `member-lost`, `member-refused`, `gang-incomplete`: the rest of their gang does not run.
- `worker-draining`: their worker leaves before they can end.
- `no-progress`, `not-confirmed`, `not-listed`: they do not seem to work.
- `not-confirmed-in-closed-zone`: their starts may be carried out after their zone was closed.
- `done-elsewhere`: another run of the task is done.
- `job-failed`, `job-cancelled`: the job has ended.
*/
export type StopReason =
	| Readonly<{kind: 'preempted'; job: JobKey; rank: Rank}>
	| Readonly<{kind: 'no-progress'; duration: Milliseconds}>
	| Readonly<{kind: 'member-ended' | 'member-lost' | 'member-refused' | 'gang-incomplete' | 'worker-draining' | 'not-confirmed' | 'not-confirmed-in-closed-zone' | 'not-listed' | 'done-elsewhere' | 'job-failed' | 'job-cancelled'}>;

/** Why the runs of a worker's incarnation have certainly ended. */
export type ReleaseCause = 'worker-restarted' | 'worker-silent' | 'worker-left' | 'agent-lost';

/** Reason of lost work, as logs and metrics name it. */
export type LossReason = StopReason['kind'] | ReleaseCause | `run-${Exclude<RunEnding, 'done'>}`;

export function describeStopReason(reason: StopReason): string {
	switch (reason.kind) {
		case 'preempted': {
			return `room for ${reason.job} of rank ${reason.rank}`;
		}

		case 'no-progress': {
			return `no progress for ${Math.round(reason.duration)} ms`;
		}

		case 'member-ended': {
			return 'a member of the gang ended';
		}

		case 'member-lost': {
			return 'a member of the gang is lost';
		}

		case 'member-refused': {
			return 'a member of the gang was refused';
		}

		case 'gang-incomplete': {
			return 'only a part of the gang runs';
		}

		case 'worker-draining': {
			return 'worker leaves before the run can end';
		}

		case 'not-confirmed': {
			return 'start was not confirmed';
		}

		case 'not-confirmed-in-closed-zone': {
			return 'start was not confirmed when its zone was closed';
		}

		case 'not-listed': {
			return 'worker no longer lists the run';
		}

		case 'done-elsewhere': {
			return 'task completed on another worker';
		}

		case 'job-failed': {
			return 'job failed';
		}

		case 'job-cancelled': {
			return 'job cancelled';
		}

		default: {
			return assertNever(reason);
		}
	}
}

/** Fields of a log line that tells of lost work; metrics count the core-seconds by reason. */
export function describeLoss(reason: LossReason, coreSeconds: number): Readonly<{lossReason: LossReason; lossCoreSeconds: number}> {
	return {lossReason: reason, lossCoreSeconds: Math.round(coreSeconds)};
}
