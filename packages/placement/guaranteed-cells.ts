import type {Lists} from '#configuration';
import type {ZoneName} from '#core';
import {compareText} from './occupancy.js';
import type {CellShape} from './layout-types.js';

/** Cells of one shape that a plan is guaranteed in a zone. */
export type GuaranteedCells = CellShape & Readonly<{count: number}>;

const adjacencyOrder = {rack: 0, worker: 1, zone: 2} as const;

/** Sums the guarantees of a zone by shape. Rack cells come first, since they need the most room, zone cells last, and larger before smaller ones. */
export function listGuaranteedCells({allowances}: Lists, zone: ZoneName): readonly GuaranteedCells[] {
	const guaranteed = new Map<string, GuaranteedCells>();
	for (const {plan, guarantees} of allowances) {
		for (const {adjacency, accelerators, count} of guarantees.filter(guarantee => guarantee.zone === zone)) {
			const shape = {plan, adjacency, accelerators};
			const key = createShapeKey(shape);
			guaranteed.set(key, {...shape, count: count + (guaranteed.get(key)?.count ?? 0)});
		}
	}

	return [...guaranteed.values()].toSorted(compareShapes);
}

/** Order in which accelerators are assigned to cells. */
export function compareShapes(first: CellShape, second: CellShape): number {
	return (adjacencyOrder[first.adjacency] - adjacencyOrder[second.adjacency])
		|| (second.accelerators - first.accelerators)
		|| compareText(first.plan, second.plan);
}

export function createShapeKey({plan, adjacency, accelerators}: CellShape): string {
	return `${plan} ${adjacency} ${accelerators}`;
}
