import {expect} from 'chai';
import type {WorkerId} from '#core';
import type {ServiceName, TaskName} from '#jobs';
import {
	createCounters, createServices, silentLog, startTask, type Clock,
} from '#kernel';
import {initialSupervisionState, receiveSupervisionMessage, type SupervisionMessage} from '#supervision';
import type {RpcPeer} from '#transport';
import {supervisorPlugins} from '../../packages/supervisor/plugins.js';
import '../../packages/supervisor/plugins/index.js';
import {supervisionService} from '../../packages/supervisor/plugins/supervision.js';
import {workerPort, type WorkerPort} from '../../packages/supervisor/ports.js';
import type {SupervisorContext} from '../../packages/supervisor/types.js';

const options = {maximumLeaseMilliseconds: 6000, workerAddress: 'h:1'};
const task = '00000000000000a1.0.0.0' as TaskName;

type Case = Readonly<{
	name: string;
	/** Progress of both clocks between the grant and the order. */
	elapsed: Readonly<{now: number; monotonic: number}>;
	result: string;
	starts: number;
}>;

const cases: readonly Case[] = [
	{
		name: 'an order within the grant is carried out (work that never starts)', elapsed: {now: 1000, monotonic: 1000}, result: 'started', starts: 1,
	},
	{
		name: 'an order after the grant is refused (run that has been started elsewhere)', elapsed: {now: 8000, monotonic: 8000}, result: 'too-late', starts: 0,
	},
	{
		name: 'an order that is the first message after a suspension is refused (run that has been started elsewhere)', elapsed: {now: 30_000, monotonic: 1000}, result: 'too-late', starts: 0,
	},
];

describe('start orders to an agent', () => {
	for (const {
		name, elapsed, result, starts,
	} of cases) {
		it(name, async () => {
			const time = {now: 0, monotonic: 0};
			const clock: Clock = {now: () => time.now, monotonic: () => time.monotonic, schedule: () => () => undefined};
			const services = createServices();
			const supervision = startTask({
				name: 'supervision', initialState: initialSupervisionState, receive: (state, message: SupervisionMessage, current) => receiveSupervisionMessage(state, message, current, options),
			}, {clock, perform: () => undefined});
			services.provide(supervisionService, supervision);
			let started = 0;
			services.provide(workerPort, {
				async start() {
					started++;
					return {kind: 'started', clock: 51_000};
				},
			} as unknown as WorkerPort);
			const context = {
				services, clock, counters: createCounters(), log: silentLog, settings: {'maximum-hold-milliseconds': options.maximumLeaseMilliseconds},
			} as unknown as SupervisorContext;
			supervision.send({
				kind: 'announced', announcement: {
					worker: 'w' as WorkerId, address: 'h:1', incarnation: '100', startedAt: 100, sequence: 1, service: 'svc' as ServiceName, zone: 'z', labels: ['a', 'r'], rack: 'r',
					capacity: {processorMillicores: 1, memoryMegabytes: 1, accelerators: 1}, state: 'ready', leavesInMilliseconds: undefined, clock: 50_000,
				},
			});
			supervision.send({
				kind: 'granted', epoch: 3, sentAt: 0, validity: 7500, incarnation: '100', notedEnd: 0, reported: {incarnation: '100', clock: 50_000},
			});
			Object.assign(time, elapsed);
			const reply = await supervisorPlugins.rpcMethods().find(method => method.name === 'worker.start')?.handle({
				epoch: 3, incarnation: '100', specification: 'text', orders: [{task, run: 2000, checkpoint: ''}],
			}, context, {} as RpcPeer);
			expect(reply).to.deep.equal({answers: [{task, run: 2000, result}], epoch: 3});
			expect(started).to.equal(starts);
		});
	}
});
