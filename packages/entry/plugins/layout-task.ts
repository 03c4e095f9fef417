import type {Configuration} from '#configuration';
import type {WorkerId} from '#core';
import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import type {Layout, ZoneInventory, ZoneView} from '#placement';
import type {Slice} from '#protocol';
import type {KeyValueStore} from '#store';
import {
	buildZoneView, chooseSlice, createLayoutState, decodeLayout, describeInventory, initialPlanChanges, layoutKeyPrefix, omitUnchangedPlans, receiveLayoutMessage,
	repairIntervalMilliseconds, trackPlanChanges, watchLayout, type LayoutEffect, type LayoutMessage, type LayoutState, type PlanChanges,
} from '../layout/index.js';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {membershipService} from './membership.js';
import {storeService} from './store.js';
import {configurationService} from './watch-configuration.js';

/** The layout of the entry's zone. */
export type LayoutService = Readonly<{
	/** The layout in force; undefined until the store has been read. */
	read(): Layout | undefined;
	/** The slice that an agent has to enforce, if it is newer than the revisions that the agent reported. */
	chooseSlice(worker: WorkerId, reported: Pick<Slice, 'configurationRevision' | 'layoutRevision'>): Slice | undefined;
	/** Builds the view of agents, cells and holdings that placement uses. */
	buildZoneView(): ZoneView;
	/** The zone's workers, for the feasibility check of guarantees; undefined until agents have had time to announce themselves. */
	readInventory(): ZoneInventory | undefined;
}>;

export const layoutService = createServiceKey<LayoutService>('layout');

entryPlugins.register({
	kind: 'task',
	name: 'layout',
	start(context) {
		const {clock, settings, services} = context;
		const store = services.use(storeService);
		const key = layoutKeyPrefix + settings.zone;
		const task = startTask<LayoutState, LayoutMessage, LayoutEffect>({
			name: 'layout',
			initialState: createLayoutState(settings.zone, settings['layout-absence-milliseconds'], clock.monotonic()),
			receive: receiveLayoutMessage,
		}, {
			clock,
			perform(effect, send) {
				void write(key, effect, {context, store}).then(send);
			},
		});
		const changes = startTask<PlanChanges, Configuration, never>({
			name: 'plan-changes', initialState: initialPlanChanges, receive: (state, configuration) => ({state: trackPlanChanges(state, configuration), effects: []}),
		}, {clock, perform() {/* The task has no effects. */}});
		const cancelConfiguration = services.use(configurationService).subscribe(({current}) => {
			if (current !== undefined) {
				changes.send(current);
			}
		});
		services.provide(layoutService, createLayoutService(task, changes, context));
		const cancelGauges = task.subscribe(state => {
			reportGauges(state, context);
		});
		const cancelWatch = watchLayout(key, context, store, observed => {
			task.send({kind: 'observed', ...observed});
		});
		let cancelTimer = schedule();
		return () => {
			cancelTimer();
			cancelWatch();
			cancelConfiguration();
			changes.stop();
			cancelGauges();
			task.stop();
		};

		function schedule() {
			return clock.schedule(repairIntervalMilliseconds, () => {
				task.send({
					kind: 'repair-due',
					configuration: services.use(configurationService).read().current,
					agents: [...services.use(membershipService).read().agents.values()],
				});
				cancelTimer = schedule();
			});
		}
	},
});

function createLayoutService(task: TaskHandle<LayoutState, LayoutMessage>, changes: TaskHandle<PlanChanges, Configuration>, {services}: EntryContext): LayoutService {
	return {
		read: () => task.read().stored?.layout,
		chooseSlice(worker, reported) {
			const configuration = services.use(configurationService).read().current;
			const layout = task.read().stored?.layout;
			const slice = configuration === undefined || layout === undefined ? undefined : chooseSlice(configuration, layout, worker, reported);
			return slice === undefined ? undefined : omitUnchangedPlans(slice, changes.read(), reported.configurationRevision);
		},
		buildZoneView() {
			const {stored, absent, isComplete} = task.read();
			const agents = [...services.use(membershipService).read().agents.values()];
			return buildZoneView({
				agents, layout: stored?.layout, absent: [...absent.values()], isComplete,
			});
		},
		readInventory: () => task.read().isComplete ? describeInventory(task.read()) : undefined,
	};
}

async function write(key: string, {layout, expectedVersion}: LayoutEffect, {context, store}: Readonly<{context: EntryContext; store: KeyValueStore}>): Promise<LayoutMessage> {
	const log = context.log.withPrefix('layout');
	const reply = await store.write(key, layout, {expectedVersion});
	switch (reply.kind) {
		case 'written': {
			log.info({revision: layout.revision, cells: layout.cells.length, unmet: layout.unmet}, 'layout changed');
			context.counters.countEvent('layout-written');
			return {kind: 'written', layout, version: reply.version};
		}

		case 'conflict': {
			context.counters.countEvent('layout-conflict');
			const observed = reply.current === undefined ? {layout: undefined, version: 0} : decodeLayout(reply.current, context);
			return observed === undefined ? {kind: 'write-failed'} : {kind: 'write-refused', ...observed};
		}

		case 'lease-unknown':
		case 'unavailable': {
			log.warn({reply}, 'layout could not be written; keeping the layout in force');
			return {kind: 'write-failed'};
		}
	}
}

function reportGauges({stored}: LayoutState, {counters}: EntryContext): void {
	counters.setGauge('layout-revision', stored?.layout.revision ?? 0);
	counters.setGauge('layout-unmet-cells', stored?.layout.unmet.reduce((sum, {count}) => sum + count, 0) ?? 0);
}
