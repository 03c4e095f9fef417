import type {MonotonicTime} from '#core';
import type {JobStep} from '#jobs';
import {needOf} from './state.js';
import type {TaskRun} from './types.js';

/** An accelerator counts as this many cores, as in the platform's prices. */
const coresPerAccelerator = 8;

/** Work that the stop of one run throws away, in core-seconds. */
export function lossOfRun(run: TaskRun, step: JobStep, monotonic: MonotonicTime): number {
	const {processorMillicores, accelerators} = needOf(step);
	const cores = (processorMillicores / 1000) + (accelerators * coresPerAccelerator);
	return step.isCheckpointing ? 0 : cores * Math.max(0, monotonic - run.startedAt) / 1000;
}
