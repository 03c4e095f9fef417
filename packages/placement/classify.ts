import type {JobId} from '#core';
import type {GangRequest, WorkerView} from './types.js';

/**
What one accelerator is to a gang.

- `own`: in a cell of its plan and free.
- `free`: in no cell and free.
- `borrowable`: in a cell of another plan and free.
- `reclaimable`: in a cell of its plan, under a preemptible gang of another plan.
- `taken`: everything else.
*/
export type AcceleratorUse =
	| Readonly<{kind: 'own' | 'free' | 'borrowable' | 'taken'}>
	| Readonly<{kind: 'reclaimable'; job: JobId}>;

const own: AcceleratorUse = {kind: 'own'};
const free: AcceleratorUse = {kind: 'free'};
const borrowable: AcceleratorUse = {kind: 'borrowable'};
const taken: AcceleratorUse = {kind: 'taken'};

/** Classifies the accelerators of a worker by index. */
export function classifyAccelerators({accelerators, cells, holdings}: WorkerView, {plan}: Pick<GangRequest, 'plan'>): readonly AcceleratorUse[] {
	const uses: AcceleratorUse[] = [];
	for (let index = 0; index < accelerators; index++) {
		uses.push(free);
	}

	for (const cell of cells) {
		for (const index of cell.accelerators) {
			uses[index] = cell.plan === plan ? own : borrowable;
		}
	}

	for (const holding of holdings) {
		const isBorrower = holding.preemptible && holding.plan !== plan;
		for (const index of holding.accelerators) {
			uses[index] = isBorrower && uses[index] === own ? {kind: 'reclaimable', job: holding.job} : taken;
		}
	}

	return uses;
}
