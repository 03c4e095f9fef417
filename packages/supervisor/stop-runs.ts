/** Stops runs on the worker, for the scheduler and for starts of earlier incarnations. */
import type {StopOrder} from '#scheduling';
import {
	estimateWorkerClock, isAnswerOf, noDeadline, type LeaseExtension, type SupervisedWorker, type SupervisionMessage,
} from '#supervision';
import {workerPort} from './ports.js';
import type {SupervisorContext} from './types.js';

type Stops<Order extends StopOrder> = Readonly<{worker: SupervisedWorker; orders: readonly Order[]; epoch: number}>;

/** Returns the stops that this incarnation of the worker confirmed; a later one of the same identifier may answer as well. */
export async function stopRuns<Order extends StopOrder>({worker, orders, epoch}: Stops<Order>, send: (message: SupervisionMessage) => void, context: SupervisorContext): Promise<readonly Order[]> {
	const {services, log, clock} = context;
	const sentAt = clock.monotonic();
	const {worker: identifier, incarnation} = worker.announcement;
	const replies = await Promise.all(orders.map(async order => {
		const {task, run} = order;
		const reply = await services.use(workerPort).stop({
			worker: identifier, epoch, task, run,
		});
		const isConfirmed = reply.kind === 'stopped' && isAnswerOf(worker, reply.clock, sentAt);
		log.withPrefix('orders').info({
			task, run, epoch, worker: identifier, incarnation, result: reply.kind, isConfirmed, expectedClock: estimateWorkerClock(worker, sentAt),
		}, 'stop ordered');
		return isConfirmed ? [order] : [];
	}));
	const extension: LeaseExtension = {
		worker: identifier, incarnation, epoch, notedEnd: 0, wait: 0, isRecurring: false, ...noDeadline,
	};
	// Queries the runs after the stops, so that the next report includes a run that started late and is being stopped.
	const result = await services.use(workerPort).extendLeases(extension);
	send({kind: 'extension-answered', extension, result});
	const isOtherIncarnation = result.kind === 'answered' && result.incarnation !== undefined && result.incarnation !== incarnation;
	return isOtherIncarnation ? [] : replies.flat();
}
