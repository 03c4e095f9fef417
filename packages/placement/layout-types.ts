/** The layout of one zone: the accelerators assigned to each guaranteed cell. */
import * as valibot from 'valibot';
import {
	countSchema, planNameSchema, workerIdSchema, zoneNameSchema, type AcceleratorIndex, type Milliseconds, type PlanName, type RackName, type MonotonicTime,
	type WorkerId, type ZoneName,
} from '#core';
import {adjacencySchema} from '#configuration';

/** Accelerators of one worker that belong to one cell, in ascending order. */
export const cellPartSchema = valibot.object({
	worker: workerIdSchema,
	accelerators: valibot.pipe(valibot.array(countSchema), valibot.minLength(1), valibot.readonly()),
});
export type CellPart = Readonly<valibot.InferOutput<typeof cellPartSchema>>;

const cellShapeEntries = {plan: planNameSchema, adjacency: adjacencySchema, accelerators: countSchema};

/** One guaranteed cell and the accelerators assigned to it. */
export const cellSchema = valibot.object({...cellShapeEntries, parts: valibot.pipe(valibot.array(cellPartSchema), valibot.minLength(1), valibot.readonly())});
export type Cell = Readonly<valibot.InferOutput<typeof cellSchema>>;

/** Requirements of one cell, without the accelerators assigned to it. */
export type CellShape = Readonly<Pick<Cell, 'plan' | 'adjacency' | 'accelerators'>>;

/** Guaranteed cells without accelerators. */
export const unmetCellsSchema = valibot.object({
	...cellShapeEntries,
	count: countSchema,
	reason: valibot.picklist(['not-enough-accelerators', 'no-adjacent-accelerators']),
});
export type UnmetCells = Readonly<valibot.InferOutput<typeof unmetCellsSchema>>;

/** The layout of one zone as it is stored. */
export const layoutSchema = valibot.object({
	zone: zoneNameSchema,
	/** Incremented with every change. */
	revision: countSchema,
	/** Revision of the configuration that the last change applied. */
	configurationRevision: countSchema,
	cells: valibot.pipe(valibot.array(cellSchema), valibot.readonly()),
	unmet: valibot.pipe(valibot.array(unmetCellsSchema), valibot.readonly()),
});
export type Layout = Readonly<valibot.InferOutput<typeof layoutSchema>>;

/** A worker whose accelerators can be assigned to cells. */
export type InventoryWorker = Readonly<{
	worker: WorkerId;
	rack: RackName;
	accelerators: number;
	/** Accelerators that non-preemptible gangs hold. A cell of another plan there cannot be reclaimed until they end. */
	pinned: ReadonlyArray<Readonly<{plan: PlanName; accelerators: readonly AcceleratorIndex[]}>>;
}>;

/** A worker that disappeared or is leaving. */
export type AbsentWorker = Readonly<{
	worker: WorkerId;
	since: MonotonicTime;
	/** Its last known inventory, if this process has seen it. */
	lastKnown?: InventoryWorker | undefined;
}>;

/** The workers of one zone, as far as the layout depends on them. */
export type ZoneInventory = Readonly<{
	zone: ZoneName;
	workers: readonly InventoryWorker[];
	absent: readonly AbsentWorker[];
	/** How long an absent worker retains its cells. */
	absenceDelay: Milliseconds;
}>;

/** How accelerators are chosen for a cell within a worker. */
export type CellStrategy = 'best-fit' | 'buddy';
