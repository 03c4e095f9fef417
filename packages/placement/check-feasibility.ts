import type {Lists} from '#configuration';
import type {Finding} from '#core';
import type {InventoryWorker, UnmetCells, ZoneInventory} from './layout-types.js';
import {mapCells} from './repair-layout.js';
import {createShapeKey, listGuaranteedCells} from './guaranteed-cells.js';

/** Finds the guarantees of a zone that its workers cannot satisfy together. Absent workers count as present. */
export function checkFeasibility(lists: Lists, inventory: ZoneInventory): readonly Finding[] {
	const workers = [...inventory.workers, ...inventory.absent.flatMap(({lastKnown}) => lastKnown ?? [])]
		.map<InventoryWorker>(worker => ({...worker, pinned: []}));
	const guaranteed = listGuaranteedCells(lists, inventory.zone);
	const {unmet} = mapCells([], guaranteed, {...inventory, workers, absent: []}, {now: 0, strategy: 'best-fit'});
	const byShape = new Map(unmet.map(cells => [createShapeKey(cells), cells]));
	const total = workers.reduce((sum, {accelerators}) => sum + accelerators, 0);
	return lists.allowances.flatMap(({plan, guarantees}, position) => guarantees.flatMap(({zone, adjacency, accelerators}, index) => {
		const cells = zone === inventory.zone ? byShape.get(createShapeKey({plan, adjacency, accelerators})) : undefined;
		return cells === undefined
			? []
			: [{
				place: `allowances[${position}].guarantees[${index}]`,
				message: describeUnmetCells(cells, inventory, total),
			}];
	}));
}

function describeUnmetCells({plan, adjacency, accelerators, count, reason}: UnmetCells, {zone}: ZoneInventory, total: number): string {
	const cause = reason === 'not-enough-accelerators' ? 'too few are left' : `no ${adjacency} has that many adjacent ones left`;
	const cells = `${count} ${count === 1 ? 'cell' : 'cells'} of ${accelerators} accelerators in one ${adjacency} for plan ${plan}`;
	return `${cells} cannot be placed beside the other guarantees: of the ${total} accelerators of zone ${zone}, ${cause}`;
}
