/** Stops runs on the worker, for the scheduler and for starts of earlier incarnations. */
import type {ReportedRun} from '#jobs';
import type {TaskHandle} from '#kernel';
import type {StopOrder} from '#scheduling';
import {
	estimateWorkerClock, isAnswerOf, noDeadline, type LeaseExtension, type LeaseExtensionResult, type SupervisedWorker, type SupervisionMessage, type SupervisionState,
} from '#supervision';
import {workerPort} from './ports.js';
import type {SupervisorContext} from './types.js';

type SupervisionTask = Pick<TaskHandle<SupervisionState, SupervisionMessage>, 'send' | 'read'>;

type Stops<Order extends StopOrder> = Readonly<{worker: SupervisedWorker; orders: readonly Order[]; epoch: number}>;

/**
Returns the stops that this incarnation of the worker confirmed; a later one of the same identifier may answer as well.

A run takes up to a second to end after its stop, so a stop counts only once the next report shows whether the run is still there.
*/
export async function stopRuns<Order extends StopOrder>({worker, orders, epoch}: Stops<Order>, supervision: SupervisionTask, context: SupervisorContext): Promise<readonly Order[]> {
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
	supervision.send({kind: 'extension-answered', extension, result});
	const known = supervision.read().worker;
	const confirmed = replies.flat();
	const shown = confirmed.filter(order => isShown(order, {result, incarnation, known}));
	if (shown.length < confirmed.length) {
		log.withPrefix('orders').warn({
			worker: identifier, incarnation, lists: result.kind, stops: confirmed.filter(order => !shown.includes(order)),
		}, 'stops are not confirmed: the lists of the worker are missing');
	}

	return shown;
}

type ListedRuns = Readonly<{result: LeaseExtensionResult; incarnation: string; known: SupervisedWorker | undefined}>;

/** Whether the next report shows a run that still ends on the worker. Lists that are older than a start are not taken over. */
function isShown({task, run}: StopOrder, {result, incarnation, known}: ListedRuns): boolean {
	if (result.kind !== 'answered' || (result.incarnation !== undefined && result.incarnation !== incarnation)) {
		return false;
	}

	const isListedBy = (runs: readonly ReportedRun[] | undefined) => runs?.some(listed => listed.task === task && listed.run === run) === true;
	return !isListedBy(result.running) || isListedBy(known?.running);
}
