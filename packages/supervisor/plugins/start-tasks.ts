import {startTasksParametersSchema} from '#protocol';
import type {StartAnswer, StartOrder} from '#scheduling';
import {
	computeLeaseDeadline, estimateWorkerClock, isAnswerOf, isLeaseOver, wasSuspended,
} from '#supervision';
import {supervisorPlugins} from '../plugins.js';
import {workerPort, type StartReply} from '../ports.js';
import type {SupervisorContext} from '../types.js';
import {supervisionService} from './supervision.js';

type StartParameters = Readonly<{epoch: number; incarnation: string; specification: string; orders: readonly StartOrder[]}>;

supervisorPlugins.register({
	kind: 'rpc-method',
	name: 'worker.start',
	parametersSchema: startTasksParametersSchema,
	async handle(parameters, context) {
		const request = parameters as StartParameters;
		const answers = await Promise.all(request.orders.map(async order => startRun(order, request, context)));
		return {answers, epoch: context.services.use(supervisionService).read().epoch};
	},
});

/** Starts one run on the worker if the order comes from the current scheduler and is for the worker's current incarnation. */
async function startRun({task, run, checkpoint}: StartOrder, {epoch, incarnation, specification}: StartParameters, context: SupervisorContext): Promise<StartAnswer> {
	const {services, settings, clock, counters, log} = context;
	const supervision = services.use(supervisionService);
	const state = supervision.read();
	const {worker} = state;
	const sentAt = clock.monotonic();
	const {deadline, leaseUntil} = computeLeaseDeadline(state, sentAt, {maximumLeaseMilliseconds: settings['maximum-hold-milliseconds']});
	const refusal = findRefusal();
	let answeredClock: number | undefined;
	const result = refusal ?? await sendStart();
	if (result !== 'started') {
		counters.countRefusal(`start-${result}`);
	}

	log.withPrefix('orders').info({
		task,
		run,
		epoch,
		incarnation,
		result,
		knownEpoch: state.epoch,
		worker: worker?.announcement.worker,
		expectedClock: worker === undefined ? undefined : estimateWorkerClock(worker, sentAt),
		answeredClock,
		milliseconds: Math.round(clock.monotonic() - sentAt),
	}, 'start ordered');
	return {task, run, result};

	function findRefusal(): StartAnswer['result'] | undefined {
		if (epoch < state.epoch) {
			return 'superseded';
		}

		if (worker?.announcement.incarnation !== incarnation || deadline === undefined || wasSuspended(state, {now: clock.now(), monotonic: sentAt})) {
			return 'too-late';
		}

		// The scheduler may have released all runs there: the worker was reported as silent, with its leases over.
		if (!worker.isResponsive && isLeaseOver(worker.leaseUntil, sentAt)) {
			return 'too-late';
		}

		return worker.announcement.state === 'draining' || worker.isLeaving || sentAt < worker.startsBarredUntil ? 'unhealthy' : undefined;
	}

	async function sendStart(): Promise<StartAnswer['result']> {
		if (worker === undefined || deadline === undefined) {
			return 'too-late';
		}

		supervision.send({
			kind: 'start-requested', incarnation, task, run, leaseUntil,
		});
		const reply = await services.use(workerPort).start({
			worker: worker.announcement.worker, epoch, task, run, specification, checkpoint, deadline,
		});
		return handleReply(reply);
	}

	function handleReply(reply: StartReply): StartAnswer['result'] {
		switch (reply.kind) {
			case 'started': {
				answeredClock = reply.clock;
				// Another incarnation carries out the start; it is revoked there.
				if (worker === undefined || !isAnswerOf(worker, reply.clock, sentAt)) {
					return 'unknown';
				}

				supervision.send({
					kind: 'started', incarnation, task, run, clock: reply.clock,
				});
				return 'started';
			}

			case 'refused': {
				supervision.send({kind: 'start-refused', task, run});
				return reply.reason;
			}

			case 'unknown': {
				return 'unknown';
			}
		}
	}
}
