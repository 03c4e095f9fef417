/** Shapes of tasks that no worker has room for, so that a full pool is not searched again for each waiting unit. */
import type {Resources, ServiceName} from '#jobs';
import {resourcesOf} from './state.js';
import type {SchedulingUnit} from './units.js';

export type TaskShape = Readonly<{service: ServiceName; requiredLabel: string | undefined; need: Resources}>;

export function shapeOf({queue, step}: SchedulingUnit): TaskShape {
	return {service: queue.service, requiredLabel: step.requiredLabel, need: resourcesOf(step)};
}

/** Whether a shape without room is no larger than the unit's tasks and may use the same workers or more. */
export function isExhausted(unit: SchedulingUnit, exhausted: readonly TaskShape[]): boolean {
	const {service, requiredLabel, need} = shapeOf(unit);
	return exhausted.some(shape => shape.service === service
		&& (shape.requiredLabel === undefined || shape.requiredLabel === requiredLabel)
		&& need.processorMillicores >= shape.need.processorMillicores
		&& need.memoryMegabytes >= shape.need.memoryMegabytes
		&& need.accelerators >= shape.need.accelerators);
}
