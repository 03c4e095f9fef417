import type {JobId} from '#core';
import type {
	CellReference, GangRequest, WorkerCell, WorkerView,
} from './types.js';

/**
How a gang may use one accelerator.

- `own`: free in a cell of its plan.
- `free`: free and in no cell.
- `borrowable`: free in a cell of another plan, or in one of its own plan that is reserved for gangs of another shape.
- `reclaimable`: in a cell of its plan, held by a gang that can be evicted.
- `taken`: everything else.
*/
export type AcceleratorUse =
	| Readonly<{kind: 'own'; cell: CellReference | undefined}>
	| Readonly<{kind: 'free' | 'borrowable' | 'taken'}>
	| Readonly<{kind: 'reclaimable'; job: JobId; cell: CellReference | undefined}>;

export function isOwned({kind}: AcceleratorUse): boolean {
	return kind === 'own' || kind === 'reclaimable';
}

/** The properties of a gang that decide which accelerators it may use. */
export type GangRequirements = Pick<GangRequest, 'plan' | 'preemptible' | 'shape'>;

/** Which cells count as a gang's own. With `usesWholeCell`, the gang fills one of them completely or uses none. */
export type Ownership = Readonly<{usesWholeCell: boolean; isOwn(cell: WorkerCell): boolean}>;

const free: AcceleratorUse = {kind: 'free'};
const borrowable: AcceleratorUse = {kind: 'borrowable'};
const taken: AcceleratorUse = {kind: 'taken'};

/**
Determines which cells count as the gang's own.

A gang whose plan has cells of exactly its size fills one of them completely or uses none of the plan's cells. Otherwise holdings that are one report out of date would let it split a larger cell that is guaranteed for a larger gang.
*/
export function createOwnership(workers: readonly WorkerView[], {plan, shape}: GangRequirements): Ownership {
	const needed = shape.members * shape.acceleratorsPerMember;
	const fits = ({cell}: WorkerCell) => cell?.accelerators === needed && cell.adjacency === shape.adjacency;
	const hasFitting = workers.some(({cells}) => cells.some(cell => cell.plan === plan && fits(cell)));
	return {usesWholeCell: hasFitting, isOwn: cell => cell.plan === plan && (!hasFitting || fits(cell))};
}

/** Classifies the accelerators of a worker by index. A preemptible gang in a cell of its own plan can be evicted for a non-preemptible gang of that plan. */
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
