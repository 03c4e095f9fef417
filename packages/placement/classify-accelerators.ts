import type {JobId} from '#core';
import type {
	CellReference, GangRequest, WorkerCell, WorkerView,
} from './types.js';

/**
What one accelerator is to a gang.

- `own`: in a cell of its plan and free.
- `free`: in no cell and free.
- `borrowable`: free in a cell of another plan, or in one of its own plan that is kept for gangs of another shape.
- `reclaimable`: in a cell of its plan, under a gang that can be evicted.
- `taken`: everything else.
*/
export type AcceleratorUse =
	| Readonly<{kind: 'own'; cell: CellReference | undefined}>
	| Readonly<{kind: 'free' | 'borrowable' | 'taken'}>
	| Readonly<{kind: 'reclaimable'; job: JobId; cell: CellReference | undefined}>;

export function isOwned({kind}: AcceleratorUse): boolean {
	return kind === 'own' || kind === 'reclaimable';
}

/** The gang as far as its claim on cells depends on it. */
export type GangRequirements = Pick<GangRequest, 'plan' | 'preemptible' | 'shape'>;

/** Which cells count as a gang's own, and whether it takes one of them whole or none. */
export type Ownership = Readonly<{takesWholeCell: boolean; isOwn(cell: WorkerCell): boolean}>;

const free: AcceleratorUse = {kind: 'free'};
const borrowable: AcceleratorUse = {kind: 'borrowable'};
const taken: AcceleratorUse = {kind: 'taken'};

/**
Finds the cells that count as the gang's own.

A gang for which its plan has cells of just that size uses one of these whole, or none. Otherwise a view of who holds them that is one report old would let it break a larger cell that a larger gang is guaranteed.
*/
export function createOwnership(workers: readonly WorkerView[], {plan, shape}: GangRequirements): Ownership {
	const needed = shape.members * shape.acceleratorsPerMember;
	const fits = ({cell}: WorkerCell) => cell?.accelerators === needed && cell.adjacency === shape.adjacency;
	const hasFitting = workers.some(({cells}) => cells.some(cell => cell.plan === plan && fits(cell)));
	return {takesWholeCell: hasFitting, isOwn: cell => cell.plan === plan && (!hasFitting || fits(cell))};
}

/** Classifies the accelerators of a worker by index. A preemptible gang makes way in its plan's cells even for its own plan. */
export function classifyAccelerators({accelerators, cells, holdings}: WorkerView, {plan, preemptible}: GangRequirements, {isOwn}: Ownership): readonly AcceleratorUse[] {
	const uses: AcceleratorUse[] = [];
	for (let index = 0; index < accelerators; index++) {
		uses.push(free);
	}

	for (const cell of cells) {
		const use: AcceleratorUse = isOwn(cell) ? {kind: 'own', cell: cell.cell} : borrowable;
		for (const index of cell.accelerators) {
			uses[index] = use;
		}
	}

	for (const holding of holdings) {
		const canEvict = holding.preemptible && (holding.plan !== plan || !preemptible);
		for (const index of holding.accelerators) {
			const use = uses[index];
			uses[index] = canEvict && use?.kind === 'own' ? {kind: 'reclaimable', job: holding.job, cell: use.cell} : taken;
		}
	}

	return uses;
}
