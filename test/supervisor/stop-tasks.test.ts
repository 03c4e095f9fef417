import {expect} from 'chai';
import type {WorkerId} from '#core';
import type {ReportedRun, ServiceName, TaskName} from '#jobs';
import {
	createCounters, createServices, silentLog, startTask, type Clock,
} from '#kernel';
import {
	describeWorker, initialSupervisionState, receiveSupervisionMessage, type LeaseExtensionResult, type SupervisionMessage,
} from '#supervision';
import {noEnds} from '#test/support/supervision';
import type {RpcPeer} from '#transport';
import {supervisorPlugins} from '../../packages/supervisor/plugins.js';
import '../../packages/supervisor/plugins/index.js';
import {supervisionService} from '../../packages/supervisor/plugins/supervision.js';
import {workerPort, type WorkerPort} from '../../packages/supervisor/ports.js';
import type {SupervisorContext} from '../../packages/supervisor/types.js';

const options = {maximumLeaseMilliseconds: 6000, workerAddress: 'h:1'};
const order = {task: '00000000000000a1.0.0.0' as TaskName, run: 1} as const;
const other = {task: '00000000000000a1.0.0.1' as TaskName, run: 1} as const;
const listed: ReportedRun = {...order, checkpoint: '', percent: 5};

function lists(running: readonly ReportedRun[], change: Readonly<{clock?: number; incarnation?: string}> = {}): LeaseExtensionResult {
	return {
		kind: 'answered', incarnation: change.incarnation ?? '100', clock: change.clock ?? 52_000, running, ended: noEnds,
	};
}

type Case = Readonly<{
	name: string;
	/** The worker's answer to the query after the stop. */
	result: LeaseExtensionResult;
	isConfirmed: boolean;
	/** Whether the next report lists the run. */
	isReported: boolean;
}>;

const cases: readonly Case[] = [
	{
		name: 'a stop whose run has ended, or never began, is confirmed (stop ordered without end)', result: lists([]), isConfirmed: true, isReported: false,
	},
	{
		name: 'a stop whose run still ends is confirmed, and the run reported (two runs of one task)', result: lists([listed]), isConfirmed: true, isReported: true,
	},
	{
		name: 'a stop is not confirmed if the lists after it are lost (two runs of one task: the run still ends and is not reported)',
		result: {kind: 'failed', message: 'connection reset'}, isConfirmed: false, isReported: false,
	},
	{
		name: 'a stop is not confirmed if an unhealthy worker refuses to list its runs (two runs of one task)',
		result: {kind: 'refused', message: 'status 503'}, isConfirmed: false, isReported: false,
	},
	{
		name: 'a stop is not confirmed if the lists after it are not taken over, since they may be older than a start (two runs of one task)',
		result: lists([listed], {clock: 51_000}), isConfirmed: false, isReported: false,
	},
	{
		name: 'a stop that another incarnation answers is not confirmed (start carried out beside the next run)', result: lists([], {incarnation: '200'}), isConfirmed: false, isReported: false,
	},
];

describe('stop orders to an agent', () => {
	for (const {
		name, result, isConfirmed, isReported,
	} of cases) {
		it(name, async () => {
			const clock: Clock = {now: () => 1000, monotonic: () => 1000, schedule: () => () => undefined};
			const services = createServices();
			const supervision = startTask({
				name: 'supervision', initialState: initialSupervisionState, receive: (state, message: SupervisionMessage, current) => receiveSupervisionMessage(state, message, current, options),
			}, {clock, perform: () => undefined});
			services.provide(supervisionService, supervision);
			services.provide(workerPort, {
				stop: async () => ({kind: 'stopped', clock: 51_500}),
				extendLeases: async () => result,
			} as unknown as WorkerPort);
			const context = {
				services, clock, counters: createCounters(), log: silentLog, settings: {},
			} as unknown as SupervisorContext;
			supervision.send({
				kind: 'announced', announcement: {
					worker: 'w' as WorkerId, address: 'h:1', incarnation: '100', startedAt: 100, sequence: 1, service: 'svc' as ServiceName, zone: 'z', labels: ['a', 'r'], rack: 'r',
					capacity: {processorMillicores: 1, memoryMegabytes: 1, accelerators: 1}, state: 'ready', leavesInMilliseconds: undefined, clock: 50_000,
				},
			});
			// A start of another task at the worker's clock of the oldest list.
			supervision.send({
				kind: 'started', incarnation: '100', ...other, clock: 51_000,
			});
			const reply = await supervisorPlugins.rpcMethods().find(method => method.name === 'worker.stop')?.handle({
				epoch: 3, incarnation: '100', orders: [order],
			}, context, {} as RpcPeer);
			expect(reply).to.deep.equal({confirmed: isConfirmed ? [order] : [], epoch: 0});
			expect(describeWorker(supervision.read(), 1000)?.running.some(({task}) => task === order.task)).to.equal(isReported);
		});
	}
});
