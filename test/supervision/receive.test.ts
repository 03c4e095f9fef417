import {expect} from 'chai';
import type {WorkerId} from '#core';
import {
	computeLeaseDeadline, describeWorker, receiveSupervisionMessage, type SupervisionMessage,
} from '#supervision';
import {
	announcement, applyMessages, buildExtension, extensionAnswered, granted, noEnds, options, startedAt10, task,
} from '#test/support/supervision';

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
		name: 'the time for which a worker stays slow runs out without a further announcement (warm worker that counts as cold)',
		run() {
			const cold = announcement({coldForMilliseconds: 3000});
			const {state} = applyMessages([[0, {kind: 'announced', announcement: cold}], [0, granted], [5, extensionAnswered(50_005)]]);
			expect([5, 1000, 3000].map(time => describeWorker(state, time)?.coldForMilliseconds)).to.deep.equal([2995, 2000, undefined]);
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
		name: 'an agent without a grant extends no lease of a worker that it first hears of (task still running while its next run starts)',
		run() {
			const announced: SupervisionMessage = {kind: 'announced', announcement: announcement()};
			const {state} = applyMessages([[0, {...granted, validity: 0}], [5000, {...granted, sentAt: 4990, validity: 0}], [5010, announced]]);
			expect(computeLeaseDeadline(state, 5010, options).deadline).to.equal(undefined);
		},
	},
	{
		name: 'a suspension during which the wall clock is set back does not prolong the grant (lease extended after the task has started elsewhere)',
		run() {
			// The machine stands still for 4 s, and its wall clock is set back by as much.
			const {state} = applyMessages([[0, {kind: 'announced', announcement: announcement()}], [0, granted], [0, extensionAnswered(50_000)], [1000, extensionAnswered(55_000)]]);
			expect(computeLeaseDeadline(state, 1000, options).deadline).to.be.at.most(57_500);
			expect(computeLeaseDeadline(state, 4000, options).deadline).to.equal(undefined);
		},
	},
	{
		name: 'a grant for an earlier incarnation extends no lease of the next one (lease of a run that the scheduler does not know)',
		run() {
			const {state} = applyMessages([
				[0, {kind: 'announced', announcement: announcement()}],
				[0, granted],
				[10, {kind: 'announced', announcement: announcement({incarnation: '200', startedAt: 200, clock: 5})}],
				[20, {
					kind: 'extension-answered',
					extension: buildExtension({incarnation: '200'}),
					result: {
						kind: 'answered', incarnation: '200', clock: 10, running: [], ended: noEnds,
					},
				}],
			]);
			expect(state.worker?.announcement.incarnation).to.equal('200');
			expect(computeLeaseDeadline(state, 30, options).deadline).to.equal(undefined);
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
					kind: 'answered', incarnation: '200', clock: 50_030, running: [], ended: noEnds,
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
				[1000, {
					kind: 'start-requested', incarnation: '100', task, run: 2, leaseUntil: 7000,
				}],
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
					kind: 'answered', incarnation: '100', clock: 50_100, running: [], ended: {kind: 'whole', ends: [ended]},
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
		name: 'a grant that was requested before a suspension of the machine and arrives after it is void (lease extended while the task\'s next run starts)',
		run() {
			const {state} = applyMessages([
				[0, {kind: 'announced', announcement: announcement()}],
				[0, granted],
				[1000, {kind: 'extension-due'}, 30_000],
				[1010, {...granted, sentAt: 990}, 30_010],
			]);
			expect(computeLeaseDeadline(state, 1010, options).deadline).to.equal(undefined);
		},
	},
];

describe('agent that extends the leases of one worker', () => {
	for (const {name, run} of cases) {
		it(name, run);
	}
});
