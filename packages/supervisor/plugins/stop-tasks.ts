import {stopTasksParametersSchema} from '#protocol';
import type {StopOrder} from '#scheduling';
import {estimateWorkerClock, noDeadline} from '#supervision';
import {supervisorPlugins} from '../plugins.js';
import {workerPort} from '../ports.js';
import type {SupervisorContext} from '../types.js';
import {supervisionService} from './supervision.js';

type StopParameters = Readonly<{epoch: number; incarnation: string; orders: readonly StopOrder[]}>;

supervisorPlugins.register({
	kind: 'rpc-method',
	name: 'worker.stop',
	parametersSchema: stopTasksParametersSchema,
	async handle(parameters, context) {
		const {epoch, incarnation, orders} = parameters as StopParameters;
		const supervision = context.services.use(supervisionService);
		const {worker, epoch: knownEpoch} = supervision.read();
		if (epoch < knownEpoch || worker?.announcement.incarnation !== incarnation) {
			return {confirmed: [], epoch: knownEpoch};
		}

		const confirmed = await stopRuns(orders, epoch, context);
		await refreshRunLists(context);
		return {confirmed, epoch: supervision.read().epoch};
	},
});

async function stopRuns(orders: readonly StopOrder[], epoch: number, context: SupervisorContext): Promise<readonly StopOrder[]> {
	const {services, log, clock} = context;
	const supervised = services.use(supervisionService).read().worker;
	if (supervised === undefined) {
		return [];
	}

	const {worker, incarnation} = supervised.announcement;
	const expectedClock = estimateWorkerClock(supervised, clock.monotonic());
	const replies = await Promise.all(orders.map(async order => ({order, reply: await services.use(workerPort).stop({worker, epoch, ...order})})));
	for (const {order, reply} of replies) {
		log.withPrefix('orders').info({
			...order, epoch, worker, incarnation, result: reply.kind, expectedClock, ...(reply.kind === 'stopped' ? {answeredClock: reply.clock} : {}),
		}, 'stop ordered');
	}

	return replies.flatMap(({order, reply}) => reply.kind === 'stopped' ? [order] : []);
}

/** Queries the runs after the stops, so that the next report includes a run that started late and is being stopped. */
async function refreshRunLists({services}: SupervisorContext): Promise<void> {
	const supervision = services.use(supervisionService);
	const state = supervision.read();
	if (state.worker === undefined) {
		return;
	}

	const {announcement: {worker, incarnation}, notedEnd} = state.worker;
	const extension = {
		worker, incarnation, epoch: state.epoch, notedEnd, wait: 0, isRecurring: false, ...noDeadline,
	};
	supervision.send({kind: 'extension-answered', extension, result: await services.use(workerPort).extendLeases(extension)});
}
