import {expect} from 'chai';
import type {WorkerId} from '#core';
import type {ServiceName, TaskName} from '#jobs';
import {
	computeLeaseDeadline, describeWorker, initialSupervisionState, receiveSupervisionMessage, type Announcement, type LeaseExtension, type SupervisionEffect, type SupervisionMessage,
	type SupervisionState,
} from '#supervision';

const options = {maximumLeaseMilliseconds: 6000, workerAddress: 'h:1'};
const task = '00000000000000a1.0.0.0' as TaskName;

function announcement(change: Partial<Announcement> = {}): Announcement {
	return {
		worker: 'w' as WorkerId, address: 'h:1', incarnation: '100', startedAt: 100, sequence: 1, service: 'svc' as ServiceName, zone: 'z', labels: ['a', 'r'], rack: 'r',
		capacity: {processorMillicores: 1, memoryMegabytes: 1, accelerators: 1}, state: 'ready', leavesInMilliseconds: undefined, clock: 50_000, ...change,
	};
}

function applyMessages(messages: ReadonlyArray<readonly [number, SupervisionMessage, number?]>): Readonly<{state: SupervisionState; effects: readonly SupervisionEffect[]}> {
	let state = initialSupervisionState;
	let effects: readonly SupervisionEffect[] = [];
	for (const [monotonic, message, now = monotonic] of messages) {
		const step = receiveSupervisionMessage(state, message, {now, monotonic}, options);
		state = step.state;
		effects = step.effects;
	}

	return {state, effects};
}

const granted: SupervisionMessage = {
	kind: 'granted', epoch: 3, sentAt: 0, validity: 7500, incarnation: '100', notedEnd: 0,
};

function buildExtension(change: Partial<LeaseExtension> = {}): LeaseExtension {
	return {
		worker: 'w' as WorkerId, incarnation: '100', epoch: 3, deadline: 56_000, leaseUntil: 6000, notedEnd: 0, wait: 0, isRecurring: false, ...change,
	};
}

function extensionAnswered(clock: number, change: Readonly<{running?: readonly string[]; incarnation?: string}> = {}): SupervisionMessage {
	return {
		kind: 'extension-answered',
		extension: buildExtension(),
		result: {
			kind: 'answered', incarnation: change.incarnation ?? '100', clock, running: (change.running ?? []).map(name => ({
				task: name as TaskName, run: 1, checkpoint: '', percent: 5,
			})), ended: [],
		},
	};
}

/** A run is started at 10 ms, when the worker's clock shows 50,010 ms. */
const startedAt10: ReadonlyArray<readonly [number, SupervisionMessage]> = [
	[0, {kind: 'announced', announcement: announcement()}],
	[0, granted],
	[0, extensionAnswered(50_000)],
	[10, {
		kind: 'started', incarnation: '100', task, run: 1, clock: 50_010,
	}],
];

type Case = Readonly<{name: string; run(): void}>;

const cases: readonly Case[] = [
	{
		name: 'no snapshot is reported before the worker has confirmed the epoch (late orders of an earlier scheduler)',
		run() {
			const {state, effects} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted]]);
			expect(describeWorker(state, 0)).to.equal(undefined);
			expect(effects.filter(({kind}) => kind === 'extend-leases')).to.have.length(1);
			expect(describeWorker(applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [5, extensionAnswered(50_005)]]).state, 5)).to.include({worker: 'w'});
		},
	},
	{
		name: 'leases expire with the grant, however often they are extended (task still running while its next run starts)',
		run() {
			const {state} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted]]);
			expect(computeLeaseDeadline(state, 1000, options).leaseUntil).to.equal(7000);
			expect(computeLeaseDeadline(state, 5000, options).leaseUntil).to.equal(7500);
			expect(computeLeaseDeadline(state, 7500, options).deadline).to.equal(undefined);
		},
	},
	{
		name: 'a grant is valid from the sending of the renewal, not from its answer (lease that outlasts the grant after a delayed answer)',
		run() {
			const {state} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [4000, granted]]);
			expect(computeLeaseDeadline(state, 4000, options).leaseUntil).to.equal(7500);
		},
	},
	{
		name: 'the deadline allows for a slow clock of the worker (lease that outlasts the grant)',
		run() {
			const {state} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted]]);
			expect(computeLeaseDeadline(state, 1000, options).deadline).to.equal(50_980 + 6000);
		},
	},
	{
		name: 'a grant of an earlier scheduler is ignored (two schedulers)',
		run() {
			const {state} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, {kind: 'epoch-raised', epoch: 4}], [0, granted]]);
			expect(state).to.include({epoch: 4, grantUntil: 0});
		},
	},
	{
		name: 'an out-of-order list is ignored (running task reported as gone)',
		run() {
			const {state} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [20, extensionAnswered(50_020, {running: [task]})], [21, extensionAnswered(50_010)]]);
			expect(state.worker?.running.map(row => row.task)).to.deep.equal([task]);
		},
	},
	{
		name: 'a list of another incarnation of the worker is ignored (runs attributed to the wrong incarnation)',
		run() {
			const {state} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [20, extensionAnswered(50_020, {running: [task], incarnation: '200'})]]);
			expect(state.worker?.running).to.deep.equal([]);
		},
	},
	{
		name: 'a delayed announcement of an earlier incarnation does not replace the current one (restarted worker lost again)',
		run() {
			const {state} = applyMessages([
				[0, {kind: 'announced', announcement: announcement({incarnation: '200', startedAt: 200})}],
				[1, {
					kind: 'announced', announcement: announcement({
						worker: 'old' as WorkerId, incarnation: '100', startedAt: 100, sequence: 9,
					}),
				}],
			]);
			expect(state.worker?.announcement.incarnation).to.equal('200');
		},
	},
	{
		name: 'a stale announcement of the same incarnation does not revert draining (start on a draining worker)',
		run() {
			const {state} = applyMessages([
				[0, {kind: 'announced', announcement: announcement({sequence: 5, state: 'draining'})}],
				[1, {kind: 'announced', announcement: announcement({sequence: 4})}],
			]);
			expect(state.worker?.announcement.state).to.equal('draining');
		},
	},
	{
		name: 'the runs that an incarnation lost at their start are reported for a while (crash unknown to the next scheduler)',
		run() {
			const restarted: SupervisionMessage = {kind: 'announced', announcement: announcement({incarnation: '200', startedAt: 200})};
			const confirmed: SupervisionMessage = {
				kind: 'extension-answered',
				extension: buildExtension({incarnation: '200'}),
				result: {
					kind: 'answered', incarnation: '200', clock: 50_030, running: [], ended: [],
				},
			};
			const {state} = applyMessages([...startedAt10, [20, restarted], [30, confirmed]]);
			expect(describeWorker(state, 40)?.lost).to.deep.equal([{task, run: 1}]);
			expect(describeWorker(state, 100_000)?.lost).to.deep.equal([]);
			const draining: SupervisionMessage = {kind: 'announced', announcement: announcement({sequence: 2, state: 'draining'})};
			expect(describeWorker(applyMessages([...startedAt10, [15, draining], [20, restarted], [30, confirmed]]).state, 40)?.lost).to.deep.equal([]);
		},
	},
	{
		name: 'a change of the capacity is reported at once (starts on room that is gone)',
		run() {
			const {state, effects} = applyMessages([
				[0, {kind: 'announced', announcement: announcement()}],
				[0, granted],
				[5, extensionAnswered(50_005)],
				[10, {kind: 'announced', announcement: announcement({sequence: 2, capacity: {processorMillicores: 1, memoryMegabytes: 1, accelerators: 0}})}],
			]);
			expect(describeWorker(state, 10)?.capacity.accelerators).to.equal(0);
			expect(effects.map(({kind}) => kind)).to.include('renew');
		},
	},
	{
		name: 'an unresponsive worker is reported, and its lease is over only after all margins (runs declared lost too early)',
		run() {
			const {state, effects} = applyMessages([
				[0, {kind: 'announced', announcement: announcement()}],
				[0, granted],
				[0, extensionAnswered(50_000)],
				[100, {kind: 'extension-due'}],
				[900, {kind: 'extension-answered', extension: buildExtension({leaseUntil: 6100}), result: {kind: 'failed', message: 'timed out'}}],
			]);
			expect(effects).to.deep.include({kind: 'renew'});
			expect(describeWorker(state, 6200)).to.include({isResponsive: false, isLeaseOver: false});
			expect(describeWorker(state, 6600)).to.include({isLeaseOver: true});
		},
	},
	{
		name: 'an unresponsive worker\'s lease is not extended and expires (runs of a lost worker never restarted)',
		run() {
			const failed = {kind: 'extension-answered', extension: buildExtension({leaseUntil: 6100, isRecurring: true}), result: {kind: 'failed', message: 'other side closed'}} as const;
			const {state, effects} = applyMessages([
				[0, {kind: 'announced', announcement: announcement()}],
				[0, granted],
				[0, extensionAnswered(50_000)],
				[100, {kind: 'extension-due'}],
				[200, failed],
				[450, {...granted, sentAt: 400}],
				[450, {kind: 'extension-due'}],
			]);
			const extending = effects.find(effect => effect.kind === 'extend-leases');
			expect(extending?.extension).to.include({deadline: undefined});
			expect(describeWorker(state, 6900)).to.include({isLeaseOver: true});
			const recovered = receiveSupervisionMessage(state, {
				...extensionAnswered(50_500), extension: buildExtension({isRecurring: true}),
			} as SupervisionMessage, {now: 500, monotonic: 500}, options);
			expect(recovered.effects.some(effect => effect.kind === 'extend-leases' && effect.extension.deadline !== undefined)).to.equal(true);
		},
	},
	{
		name: 'every requested lease counts, including those of non-recurring calls and unanswered starts (runs declared lost too early)',
		run() {
			const cases: ReadonlyArray<readonly [number, SupervisionMessage]> = [
				[1000, {...granted, epoch: 4, sentAt: 1000}],
				[1000, {kind: 'lease-requested', incarnation: '100', leaseUntil: 7000}],
			];
			for (const message of cases) {
				const {state} = applyMessages([
					[0, {kind: 'announced', announcement: announcement()}],
					[0, granted],
					[0, extensionAnswered(50_000)],
					[100, {kind: 'extension-due'}],
					message,
				]);
				expect(state.worker?.leaseUntil).to.equal(7000);
			}
		},
	},
	{
		name: 'a started run is reported before the next list arrives (run considered lost)',
		run() {
			const {state} = applyMessages([
				...startedAt10,
				[11, extensionAnswered(50_005)],
			]);
			expect(describeWorker(state, 11)?.running.map(row => row.task)).to.deep.equal([task]);
		},
	},
	{
		name: 'a list from the same millisecond as a start does not remove the run (run considered lost and stopped)',
		run() {
			const {state} = applyMessages([
				...startedAt10,
				[11, extensionAnswered(50_010)],
			]);
			expect(describeWorker(state, 11)?.running.map(row => row.task)).to.deep.equal([task]);
			const later = receiveSupervisionMessage(state, extensionAnswered(50_011), {now: 12, monotonic: 12}, options);
			expect(describeWorker(later.state, 12)?.running).to.deep.equal([]);
		},
	},
	{
		name: 'calls are spaced out while ends wait to be stored, since the worker then answers at once (busy loop during a store outage)',
		run() {
			const ended = {
				number: 1, task, run: 1, ending: 'done', checkpoint: '',
			} as const;
			const answer: SupervisionMessage = {
				kind: 'extension-answered', extension: buildExtension({isRecurring: true, wait: 1000}), result: {
					kind: 'answered', incarnation: '100', clock: 50_100, running: [], ended: [ended],
				},
			};
			const {effects} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [0, extensionAnswered(50_000)], [100, {kind: 'extension-due'}], [110, answer]]);
			expect(effects.filter(({kind}) => kind === 'extend-leases')).to.deep.equal([]);
			expect(effects.some(({kind}) => kind === 'schedule-extension')).to.equal(true);
			const acknowledged = applyMessages([
				[0, {kind: 'announced', announcement: announcement()}], [0, granted], [0, extensionAnswered(50_000)], [100, {kind: 'extension-due'}], [110, answer], [130, {...granted, notedEnd: 1}],
			]);
			expect(acknowledged.effects.filter(({kind}) => kind === 'extend-leases')).to.have.length(1);
		},
	},
	{
		name: 'a grant from before a suspension of the machine is void (lease extended while the task\'s next run starts)',
		run() {
			const {state} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [1000, {kind: 'extension-due'}, 7000]]);
			expect(computeLeaseDeadline(state, 1000, options).deadline).to.equal(undefined);
		},
	},
	{
		name: 'the departure of a worker is reported with its incarnation (departure attributed to a restarted worker)',
		run() {
			const {state, effects} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [1, {kind: 'departed', worker: 'w' as WorkerId}]]);
			expect(state.endedIncarnations).to.deep.equal([{
				worker: 'w', incarnation: '100', ending: 'left', ended: [],
			}]);
			expect(effects).to.deep.include({kind: 'renew'});
		},
	},
	{
		name: 'ends that were listed before the worker left or started again are reported with its end (task started again after it was done)',
		run() {
			const ended = [{
				number: 1, task, run: 1, ending: 'done', checkpoint: '',
			}] as const;
			const listed: SupervisionMessage = {
				kind: 'extension-answered', extension: buildExtension(), result: {
					kind: 'answered', incarnation: '100', clock: 50_100, running: [], ended,
				},
			};
			const ends: ReadonlyArray<readonly ['left' | 'replaced', SupervisionMessage]> = [
				['left', {kind: 'departed', worker: 'w' as WorkerId}],
				['replaced', {kind: 'announced', announcement: announcement({incarnation: '200', startedAt: 200})}],
			];
			for (const [ending, message] of ends) {
				const {state} = applyMessages([...startedAt10, [100, listed], [101, message]]);
				const [incarnation] = state.endedIncarnations;
				expect(incarnation).to.deep.equal({
					worker: 'w', incarnation: '100', ending, ended,
				});
				const reported = receiveSupervisionMessage(state, {kind: 'incarnation-end-reported', incarnation: incarnation!}, {now: 200, monotonic: 200}, options);
				expect(reported.state.endedIncarnations).to.deep.equal([]);
			}
		},
	},
];

describe('agent that extends the leases of one worker', () => {
	for (const {name, run} of cases) {
		it(name, run);
	}
});
