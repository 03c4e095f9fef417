/** Work in core-seconds: what runs have done, and what tasks will take. */
import type {MonotonicTime} from '#core';
import type {JobStep} from '#jobs';
import {resourcesOf} from './state.js';
import type {TaskRun} from './types.js';

/** An accelerator counts as this many cores, as in the platform's prices. */
const coresPerAccelerator = 8;

function coresOf(step: JobStep): number {
	const {processorMillicores, accelerators} = resourcesOf(step);
	return (processorMillicores / 1000) + (accelerators * coresPerAccelerator);
}

/** Work that the stop of one run throws away, in core-seconds. */
export function lossOfRun(run: TaskRun, step: JobStep, monotonic: MonotonicTime): number {
	return step.isCheckpointing ? 0 : coresOf(step) * Math.max(0, monotonic - run.startedAt) / 1000;
}

/** Work of some tasks of a step by the caller's estimate, in core-seconds. */
export function workOf(step: JobStep, count: number): number {
	return coresOf(step) * count * step.estimatedMilliseconds / 1000;
}
