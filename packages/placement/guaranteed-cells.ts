import type {Lists} from '#configuration';
import type {ZoneName} from '#core';
import {compareText} from './occupancy.js';
import type {CellShape} from './layout-types.js';

/** Cells of one shape that a plan is guaranteed in a zone. */
export type GuaranteedCells = CellShape & Readonly<{count: number}>;

const adjacencyOrder = {rack: 0, worker: 1, zone: 2} as const;

/** Sums the guarantees of a zone by shape: rack cells first, since they need the most room, zone cells last, and larger before smaller. */
export function listGuaranteedCells({allowances}: Lists, zone: ZoneName): readonly GuaranteedCells[] {
	const wanted = new Map<string, GuaranteedCells>();
	for (const {plan, guarantees} of allowances) {
		for (const {adjacency, accelerators, count} of guarantees.filter(guarantee => guarantee.zone === zone)) {
			const shape = {plan, adjacency, accelerators};
			const key = createShapeKey(shape);
			wanted.set(key, {...shape, count: count + (wanted.get(key)?.count ?? 0)});
		}
	}

	return [...wanted.values()].toSorted(compareShapes);
}

/** Order in which cells get their place. */
export function compareShapes(first: CellShape, second: CellShape): number {
	return (adjacencyOrder[first.adjacency] - adjacencyOrder[second.adjacency])
		|| (second.accelerators - first.accelerators)
		|| compareText(first.plan, second.plan);
}

export function createShapeKey({plan, adjacency, accelerators}: CellShape): string {
	return `${plan} ${adjacency} ${accelerators}`;
}
