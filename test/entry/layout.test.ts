import {expect} from 'chai';
import type {Configuration} from '#configuration';
import type {Incarnation, WorkerId} from '#core';
import type {AgentView} from '#membership';
import {createEmptyLayout, repairLayout, type Layout} from '#placement';
import {
	buildZoneView, chooseSlice, createLayoutState, receiveLayoutMessage, initialRepairDelayMilliseconds, type LayoutMessage,
} from '../../packages/entry/layout/index.js';
import {
	createConfiguration, createInventory, createWorker, zone,
} from '../placement/support.js';

const absenceDelay = 10_000;
const configuration = createConfiguration({a: [['worker', 8, 1]]}, 5);
const layout = (revision: number, configurationRevision = 5): Layout => ({
	...repairLayout(createEmptyLayout(zone), configuration, createInventory(2), 0), revision, configurationRevision,
});

function createAgent(number: number, changes: Partial<AgentView> = {}): AgentView {
	const {worker, rack, accelerators} = createWorker(number);
	return {
		worker,
		rack,
		incarnation: 'i1' as Incarnation,
		capacity: {
			slots: 8, connections: 60, processors: 130, memoryMegabytes: 256_000, accelerators,
		},
		load: {
			shortQueued: 0, shortRunning: 0, longQueued: 0, longRunning: 0, started: 0, failed: 0,
		},
		holdings: [],
		reportedAt: 0,
		joinedAt: 0,
		isLeaving: false,
		configurationRevision: 0,
		layoutRevision: 0,
		...changes,
	};
}

const repairDue = (numbers: readonly number[], current: Configuration | undefined = configuration): LayoutMessage => ({
	kind: 'repair-due', configuration: current, agents: numbers.map(number => createAgent(number)),
});
const observed = (value: Layout | undefined, version: number): LayoutMessage => ({kind: 'observed', layout: value, version});

type TaskCase = Readonly<{
	name: string;
	/** Messages with the monotonic time of each. */
	messages: ReadonlyArray<readonly [number, LayoutMessage]>;
	/** Writes as `revision at version`. */
	writes: readonly string[];
	/** Revision in force at the end, and the worker of the first cell. */
	inForce: readonly [number | undefined, string | undefined];
}>;

const firstRepairAt = initialRepairDelayMilliseconds;

const taskCases: readonly TaskCase[] = [
	{
		name: 'nothing is written before the store has been read (an outage at startup resets the layout)',
		messages: [[firstRepairAt, repairDue([1, 2])]],
		writes: [],
		inForce: [undefined, undefined],
	},
	{
		name: 'nothing is written before agents have had time to announce themselves (layout computed from only some of the workers)',
		messages: [[0, observed(undefined, 0)], [firstRepairAt - 1, repairDue([1])]],
		writes: [],
		inForce: [0, undefined],
	},
	{
		name: 'the first layout is written only once if membership changes while the write is outstanding',
		messages: [[0, observed(undefined, 0)], [firstRepairAt, repairDue([1, 2])], [firstRepairAt, repairDue([1, 2, 3])]],
		writes: ['1 at 0'],
		inForce: [0, undefined],
	},
	{
		name: 'nothing is written if no input has changed (a new revision at every repair interval)',
		messages: [[0, observed(layout(3), 7)], [firstRepairAt, repairDue([1, 2])]],
		writes: [],
		inForce: [3, 'w01'],
	},
	{
		name: 'after a refused write the newer layout of another entry is in force',
		messages: [[0, observed(undefined, 0)], [firstRepairAt, repairDue([1, 2])], [firstRepairAt, {kind: 'write-refused', layout: layout(1), version: 4}], [firstRepairAt, repairDue([1, 2])]],
		writes: ['1 at 0'],
		inForce: [1, 'w01'],
	},
	{
		name: 'after a failed write the layout stays in force and the write is retried',
		messages: [
			[0, observed(layout(3), 7)],
			[firstRepairAt, repairDue([2])],
			[firstRepairAt + absenceDelay, repairDue([2])],
			[firstRepairAt + absenceDelay, {kind: 'write-failed'}],
			[firstRepairAt + absenceDelay, repairDue([2])],
		],
		writes: ['4 at 7', '4 at 7'],
		inForce: [3, 'w01'],
	},
	{
		name: 'a worker that restarts within the absence delay retains its cell',
		messages: [
			[0, observed(layout(3), 7)],
			[firstRepairAt, repairDue([2])],
			[firstRepairAt + absenceDelay - 1, repairDue([2])],
			[firstRepairAt + absenceDelay, repairDue([1, 2])],
			[firstRepairAt + absenceDelay + 1, repairDue([2])],
		],
		writes: [],
		inForce: [3, 'w01'],
	},
	{
		name: 'an older layout in the store is replaced by the one in force, whose revision never decreases',
		messages: [[0, observed(layout(3), 7)], [0, observed(layout(2), 8)], [firstRepairAt, repairDue([1, 2])], [firstRepairAt, {kind: 'written', layout: layout(3), version: 9}]],
		writes: ['3 at 8'],
		inForce: [3, 'w01'],
	},
	{
		name: 'an entry with an older configuration does not replace a layout computed for a newer one',
		messages: [[0, observed(layout(3, 6), 7)], [firstRepairAt, repairDue([1, 2], createConfiguration({}, 5))]],
		writes: [],
		inForce: [3, 'w01'],
	},
];

describe('layout task', () => {
	for (const {name, messages, writes, inForce} of taskCases) {
		it(name, () => {
			let state = createLayoutState(zone, absenceDelay, 0);
			const written: string[] = [];
			for (const [monotonic, message] of messages) {
				const step = receiveLayoutMessage(state, message, {now: 0, monotonic});
				state = step.state;
				written.push(...step.effects.map(effect => `${effect.layout.revision} at ${effect.expectedVersion}`));
			}

			expect(written).to.deep.equal(writes);
			expect([state.stored?.layout.revision, state.stored?.layout.cells[0]?.parts[0]?.worker]).to.deep.equal(inForce);
		});
	}
});

type SliceCase = Readonly<{name: string; reported: readonly [configuration: number, layout: number]; worker: string; cells: number | undefined}>;

const sliceCases: readonly SliceCase[] = [
	{
		name: 'an agent that has both current revisions receives no slice', reported: [5, 3], worker: 'w01', cells: undefined,
	},
	{
		name: 'an agent with an older layout receives its cells', reported: [5, 2], worker: 'w01', cells: 1,
	},
	{
		name: 'an agent with an older configuration receives a slice even if it has no cells', reported: [4, 3], worker: 'w02', cells: 0,
	},
	{
		name: 'an agent with a newer configuration does not receive an older one', reported: [6, 2], worker: 'w01', cells: undefined,
	},
];

describe('slice of an agent', () => {
	for (const {name, reported: [configurationRevision, layoutRevision], worker, cells} of sliceCases) {
		it(name, () => {
			const slice = chooseSlice(configuration, layout(3), worker as WorkerId, {configurationRevision, layoutRevision});
			expect(slice?.cells.length).to.equal(cells);
			expect(slice?.plans.map(({plan}) => plan)).to.deep.equal(cells === undefined ? undefined : ['a']);
		});
	}
});

describe('view of the zone', () => {
	it('a leaving worker is not offered for placement but still counts towards the capacity of the zone', () => {
		const agents = [createAgent(1), createAgent(2, {isLeaving: true})];
		const view = buildZoneView({
			agents, layout: layout(3), absent: [{worker: agents[1]!.worker, since: 0, lastKnown: createWorker(2)}], isComplete: true,
		});
		expect(view.workers.map(({worker, cells}) => [worker, cells.length])).to.deep.equal([['w01', 1]]);
		expect(view.absent?.map(({worker}) => worker)).to.deep.equal(['w02']);
	});
});
