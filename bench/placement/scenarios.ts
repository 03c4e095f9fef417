import type {Configuration, Guarantee} from '#configuration';
import type {
	GangShape, PlanName, RackName, WorkerId, ZoneName,
} from '#core';
import {createEmptyLayout, repairLayout, type InventoryWorker} from '#placement';
import type {Scenario, Source} from './types.js';

/** Share of the accelerators that work is submitted for. */
export const demand = 0.85;
/** Share of the accelerators for gangs that run where nobody is guaranteed. */
const openDemand = 0.1;
/** Share of the time that a guaranteed cell is used by its plan. */
const cellUse = 0.75;
const meanRunMilliseconds = 60_000;
const stragglerShare = 0.02;
const stragglerFactor = 50;
/** Mean run time with stragglers, relative to the mean without. */
const stragglerLoad = 1 - stragglerShare + (stragglerShare * stragglerFactor);
const zone = 'north-a' as ZoneName;
const openPlan = 'open' as PlanName;

type Size = Readonly<{
	name: string;
	workers: readonly InventoryWorker[];
	guarantees: ReadonlyMap<PlanName, readonly Guarantee[]>;
	openShapes: readonly GangShape[];
	borrowingShapes: readonly GangShape[];
	hours: number;
}>;

export const chances = {
	stragglerShare, stragglerFactor, wrongDeclarationShare: 0.3, checkpointMilliseconds: [200, 2000], reportLagMilliseconds: [0, 2000],
} as const;

/** Ten workers of eight accelerators, three to a rack, and four plans. */
export function createPresentScenario(): Scenario {
	return createScenario({
		name: 'present size (10 workers, 80 accelerators)',
		workers: createWorkers(10, 3, () => 8),
		guarantees: new Map([
			['a' as PlanName, [guarantee('worker', 8, 1), guarantee('worker', 4, 2)]],
			['b' as PlanName, [guarantee('rack', 16, 1)]],
			['c' as PlanName, [guarantee('worker', 4, 2)]],
			['d' as PlanName, [guarantee('worker', 2, 2)]],
		]),
		openShapes: [shape(1, 1, 'worker'), shape(1, 2, 'worker'), shape(1, 4, 'worker')],
		borrowingShapes: [shape(1, 1, 'worker'), shape(1, 2, 'worker'), shape(2, 2, 'rack'), shape(1, 4, 'worker'), shape(2, 4, 'zone'), shape(1, 8, 'worker')],
		hours: 2,
	});
}

/** A zone of the target size: 226 workers with one or two accelerators, ten to a rack. */
export function createTargetScenario(): Scenario {
	const plans = Array.from({length: 20}, (_, index) => `p${String(index).padStart(2, '0')}` as PlanName);
	return createScenario({
		name: 'target zone (226 workers, 430 accelerators)',
		workers: createWorkers(226, 10, index => index % 10 === 9 ? 1 : 2),
		guarantees: new Map(plans.map((plan, index) => [plan, [
			guarantee('worker', 2, 3),
			...(index < 10 ? [guarantee('rack', 8, 1)] : []),
			...(index < 2 ? [guarantee('zone', 16, 1)] : []),
		]])),
		openShapes: [shape(1, 1, 'worker'), shape(1, 2, 'worker')],
		borrowingShapes: [shape(1, 1, 'worker'), shape(1, 2, 'worker'), shape(4, 1, 'rack'), shape(4, 2, 'rack'), shape(16, 2, 'zone')],
		hours: 2,
	});
}

function createScenario({name, workers, guarantees, openShapes, borrowingShapes, hours}: Size): Scenario {
	const total = workers.reduce((sum, {accelerators}) => sum + accelerators, 0);
	const guaranteedOf = (list: readonly Guarantee[]) => list.reduce((sum, {accelerators, count}) => sum + (accelerators * count), 0);
	const guaranteed = [...guarantees.values()].reduce((sum, list) => sum + guaranteedOf(list), 0);
	const configuration = createConfiguration(guarantees);
	const layout = repairLayout(createEmptyLayout(zone), configuration, {
		zone, workers, absent: [], absenceDelay: 0,
	}, 0);
	const arrivals = (plan: PlanName, share: number, shapes: readonly GangShape[]): Source => ({
		kind: 'arrivals',
		gangClass: plan === openPlan ? 'open' : 'borrowing',
		plan,
		shapes,
		run: meanRunMilliseconds,
		interval: meanAccelerators(shapes) * meanRunMilliseconds * stragglerLoad / (share * total),
	});
	const borrowingDemand = demand - openDemand - (cellUse * guaranteed / total);
	return {
		name,
		workers,
		configuration,
		layout,
		quotas: new Map([...[...guarantees].map(([plan, list]) => [plan, guaranteedOf(list)] as const), [openPlan, total - guaranteed]]),
		horizon: hours * 3_600_000,
		sources: [
			...[...guarantees].flatMap(([plan, list]) => list.flatMap(item => Array.from({length: item.count}, () => createCellSource(plan, item)))),
			arrivals(openPlan, openDemand, openShapes),
			...[...guarantees.keys()].map(plan => arrivals(plan, borrowingDemand / guarantees.size, borrowingShapes)),
		],
	};
}

/** The gang of a rack or zone cell has members of a whole worker. */
function createCellSource(plan: PlanName, {adjacency, accelerators}: Guarantee): Source {
	const perMember = accelerators >= 16 && adjacency === 'rack' ? 8 : Math.min(accelerators, adjacency === 'worker' ? accelerators : 2);
	return {
		kind: 'cell',
		gangClass: 'guaranteed',
		plan,
		shapes: [shape(accelerators / perMember, perMember, adjacency)],
		run: meanRunMilliseconds,
		interval: meanRunMilliseconds * stragglerLoad * (1 - cellUse) / cellUse,
	};
}

export function createWorkers(count: number, workersPerRack: number, acceleratorsOf: (index: number) => number): readonly InventoryWorker[] {
	return Array.from({length: count}, (_, index) => ({
		worker: `w${String(index).padStart(4, '0')}` as WorkerId,
		rack: `r${String(Math.floor(index / workersPerRack)).padStart(3, '0')}` as RackName,
		accelerators: acceleratorsOf(index),
		pinned: [],
	}));
}

function createConfiguration(guarantees: Size['guarantees']): Configuration {
	return {
		plans: [...guarantees.keys()].map(name => ({name, urgency: 'urgent', weight: 1})),
		allowances: [...guarantees].map(([plan, list]) => ({
			plan, guarantees: list, maximumAccelerators: 0, maximumSlots: 0, maximumQueued: 0,
		})),
		revision: 1,
		changeId: '1',
		changedBy: 'bench',
		changedAt: 0,
	};
}

function guarantee(adjacency: Guarantee['adjacency'], accelerators: number, count: number): Guarantee {
	return {
		zone, adjacency, accelerators, count,
	};
}

function shape(members: number, acceleratorsPerMember: number, adjacency: GangShape['adjacency']): GangShape {
	return {members, acceleratorsPerMember, adjacency};
}

function meanAccelerators(shapes: readonly GangShape[]): number {
	return shapes.reduce((sum, {members, acceleratorsPerMember}) => sum + (members * acceleratorsPerMember), 0) / shapes.length;
}
