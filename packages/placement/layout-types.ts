/** The layout of one zone: which accelerators each guaranteed cell is mapped to. */
import * as valibot from 'valibot';
import {
	countSchema, planNameSchema, workerIdSchema, zoneNameSchema, type AcceleratorIndex, type Milliseconds, type PlanName, type RackName, type MonotonicTime,
	type WorkerId, type ZoneName,
} from '#core';
import {adjacencySchema} from '#configuration';

/** Accelerators of one worker that belong to one cell; their indexes ascend. */
export const cellPartSchema = valibot.object({
	worker: workerIdSchema,
	accelerators: valibot.pipe(valibot.array(countSchema), valibot.minLength(1), valibot.readonly()),
});
export type CellPart = Readonly<valibot.InferOutput<typeof cellPartSchema>>;

const cellShapeEntries = {plan: planNameSchema, adjacency: adjacencySchema, accelerators: countSchema};

/** One guaranteed cell on concrete accelerators. */
export const cellSchema = valibot.object({...cellShapeEntries, parts: valibot.pipe(valibot.array(cellPartSchema), valibot.minLength(1), valibot.readonly())});
export type Cell = Readonly<valibot.InferOutput<typeof cellSchema>>;

/** What one cell has to be, without its place. */
export type CellShape = Readonly<Pick<Cell, 'plan' | 'adjacency' | 'accelerators'>>;

/** Guaranteed cells that have no place. */
export const unmetCellsSchema = valibot.object({
	...cellShapeEntries,
	count: countSchema,
	reason: valibot.picklist(['not-enough-accelerators', 'no-adjacent-accelerators']),
});
export type UnmetCells = Readonly<valibot.InferOutput<typeof unmetCellsSchema>>;

/** The layout of one zone as it is stored. */
export const layoutSchema = valibot.object({
	zone: zoneNameSchema,
	/** Grows with every change. */
	revision: countSchema,
	/** Configuration that the last change was made for. */
	configurationRevision: countSchema,
	cells: valibot.pipe(valibot.array(cellSchema), valibot.readonly()),
	unmet: valibot.pipe(valibot.array(unmetCellsSchema), valibot.readonly()),
});
export type Layout = Readonly<valibot.InferOutput<typeof layoutSchema>>;

/** A worker that cells can be mapped to. */
export type InventoryWorker = Readonly<{
	worker: WorkerId;
	rack: RackName;
	accelerators: number;
	/** Accelerators under gangs that may not be preempted; a cell of another plan there is not reclaimable until they end. */
	pinned: ReadonlyArray<Readonly<{plan: PlanName; accelerators: readonly AcceleratorIndex[]}>>;
}>;

/** A worker that vanished or is leaving. */
export type AbsentWorker = Readonly<{
	worker: WorkerId;
	since: MonotonicTime;
	/** What it was before, if this process has seen it. */
	lastKnown?: InventoryWorker | undefined;
}>;

/** What one zone has for cells. */
export type ZoneInventory = Readonly<{
	zone: ZoneName;
	workers: readonly InventoryWorker[];
	absent: readonly AbsentWorker[];
	/** How long an absent worker keeps its cells. */
	absenceDelay: Milliseconds;
}>;

/** How accelerators are chosen for a cell inside a worker. */
export type CellStrategy = 'best-fit' | 'buddy';
