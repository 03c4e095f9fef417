/** Work in core-seconds: done by runs, and required by tasks. */
import type {MonotonicTime} from '#core';
import type {JobStep} from '#jobs';
import {resourcesOf} from './state.js';
import type {TaskRun} from './types.js';

/** Cores that one accelerator counts as, according to the platform's prices. */
const coresPerAccelerator = 8;

function countCores(step: JobStep): number {
	const {processorMillicores, accelerators} = resourcesOf(step);
	return (processorMillicores / 1000) + (accelerators * coresPerAccelerator);
}

/** Work that is discarded when the run is stopped, in core-seconds. */
export function measureLoss(run: TaskRun, step: JobStep, monotonic: MonotonicTime): number {
	return step.isCheckpointing ? 0 : countCores(step) * Math.max(0, monotonic - run.startedAt) / 1000;
}

/** Work of `count` tasks of a step by the caller's estimate, in core-seconds. */
export function estimateWork(step: JobStep, count: number): number {
	return countCores(step) * count * step.estimatedMilliseconds / 1000;
}
