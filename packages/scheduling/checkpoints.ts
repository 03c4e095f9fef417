/**
Keeps the newest checkpoint of a task and of a gang.

Addresses gangs that save checkpoints and lose a member: they resume from the newest value of any member, also of one whose worker is gone or whose end was reported late.
*/
import type {TaskName} from '#jobs';
import {listStepMembers} from './state.js';
import type {SchedulerJob, TaskState} from './types.js';

/** A checkpoint, the run that a worker reported it for, and the percentage that the run had reached when it was first reported. */
export type Checkpoint = Pick<TaskState, 'checkpoint' | 'checkpointRun' | 'checkpointPercent'>;

export const noCheckpoint: Checkpoint = {checkpoint: '', checkpointRun: 0, checkpointPercent: 0};

/** Records a checkpoint that a worker reported for a run of the task. One of a run before that of the known checkpoint is older, and so is ignored; a percentage that grows without a new checkpoint does not make the known one newer. */
export function recordCheckpoint(task: TaskState, {checkpoint, checkpointRun, checkpointPercent}: Checkpoint): TaskState {
	return checkpoint === '' || checkpoint === task.checkpoint || checkpointRun < task.checkpointRun
		? task
		: {
			...task, checkpoint, checkpointRun, checkpointPercent,
		};
}

/** Records the checkpoint with which a run ended; the percentage is the highest that is known of the run. */
export function recordLastCheckpoint(task: TaskState, {run, checkpoint}: Readonly<{run: number; checkpoint: string}>): TaskState {
	const reached = task.run?.run === run ? task.run.percent : (task.lastRun === run ? task.lastPercent : 0);
	return recordCheckpoint(task, {checkpoint, checkpointRun: run, checkpointPercent: Math.max(task.checkpointPercent, reached)});
}

function isNewer(first: Checkpoint, second: Checkpoint): boolean {
	return first.checkpoint !== ''
		&& (second.checkpoint === '' || first.checkpointPercent > second.checkpointPercent || (first.checkpointPercent === second.checkpointPercent && first.checkpointRun > second.checkpointRun));
}

/** Finds the newest checkpoint of a gang. Any member's checkpoint is valid for all, and all have to start from the same one. */
export function findGangCheckpoint(job: SchedulerJob, task: TaskName): Checkpoint {
	let newest: Checkpoint = noCheckpoint;
	for (const name of listStepMembers(job, task)) {
		const member = job.tasks.get(name);
		newest = member !== undefined && isNewer(member, newest) ? member : newest;
	}

	return {checkpoint: newest.checkpoint, checkpointRun: newest.checkpointRun, checkpointPercent: newest.checkpointPercent};
}
