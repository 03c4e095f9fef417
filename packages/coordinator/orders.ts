/** Sends the scheduler's orders to agents. */
import {
	findTask, isInClosedZone, type SchedulerEffect, type SchedulerState, type StartAnswer, type StartOrder,
} from '#scheduling';
import {orderTimeoutMilliseconds} from './constants.js';
import {agentsService} from './plugins/agents.js';
import {holdsLeadership, leadershipService} from './plugins/leadership.js';
import type {Term} from './plugins/scheduler.js';
import type {CoordinatorContext} from './types.js';

type StartEffect = Extract<SchedulerEffect, {kind: 'start'}>;
type StopEffect = Extract<SchedulerEffect, {kind: 'stop'}>;

export async function sendStarts({agent, incarnation, specification, orders: effectOrders}: StartEffect, term: Term, context: CoordinatorContext): Promise<void> {
	const {services, clock, counters} = context;
	const answerAll = (answered: readonly StartOrder[], result: StartAnswer['result']) => {
		if (answered.length > 0) {
			term.task.send({kind: 'start-answered', agent, answers: answered.map(({task, run}) => ({task, run, result}))});
		}
	};

	const worker = term.task.read().workers.get(agent)?.snapshot.worker;
	const isRecorded = worker !== undefined && await term.workersRecord.ensureStored({agent, worker});
	const peer = services.use(agentsService).find(agent);
	if (term.isOver()) {
		return;
	}

	// The record may be written seconds after the order, when the task may have started elsewhere.
	const state = term.task.read();
	const placedOn = state.workers.get(agent);
	// The zone may have been closed after the decision.
	const isClosed = placedOn !== undefined && isInClosedZone(state, placedOn);
	const maySend = !isClosed && isRecorded && peer !== undefined && holdsLeadership(context);
	const orders = maySend ? effectOrders.filter(order => isStillOrdered(state, order, {agent, incarnation})) : [];
	if (orders.length < effectOrders.length) {
		counters.countRetry('start-not-sent');
		answerAll(effectOrders.filter(order => !orders.includes(order)), isClosed ? 'zone-closed' : 'too-late');
	}

	if (peer === undefined || orders.length === 0) {
		return;
	}

	const sentAt = clock.monotonic();
	const reply = await peer.call('worker.start', {
		epoch: term.epoch, incarnation, specification, orders,
	}, orderTimeoutMilliseconds);
	counters.recordLatency('start-order', clock.monotonic() - sentAt);
	if (term.isOver()) {
		return;
	}

	switch (reply.kind) {
		case 'answered': {
			services.use(leadershipService).send({kind: 'epoch-observed', epoch: reply.result.epoch});
			term.task.send({kind: 'start-answered', agent, answers: reply.result.answers});
			break;
		}

		case 'failed': {
			counters.countRetry(`start-${reply.delivery}`);
			context.log.withPrefix('orders').warn({
				agent, tasks: orders, delivery: reply.delivery, reason: reply.message,
			}, 'start order failed');
			answerAll(orders, reply.delivery === 'never-sent' ? 'too-late' : 'unknown');
		}
	}
}

/** Whether the scheduler still waits for the start: the run was neither released nor stopped since the order. */
function isStillOrdered(state: SchedulerState, {task, run}: StartOrder, place: Pick<StartEffect, 'agent' | 'incarnation'>): boolean {
	const current = findTask(state, task)?.run;
	return current?.run === run && current.stage === 'starting' && current.agent === place.agent && current.incarnation.incarnation === place.incarnation;
}

export async function sendStops({agent, incarnation, orders}: StopEffect, term: Term, context: CoordinatorContext): Promise<void> {
	const {services, counters} = context;
	const peer = services.use(agentsService).find(agent);
	if (peer === undefined || !holdsLeadership(context)) {
		counters.countRetry('stop-not-sent');
		return;
	}

	const reply = await peer.call('worker.stop', {epoch: term.epoch, incarnation, orders}, orderTimeoutMilliseconds);
	if (term.isOver()) {
		return;
	}

	switch (reply.kind) {
		case 'answered': {
			services.use(leadershipService).send({kind: 'epoch-observed', epoch: reply.result.epoch});
			term.task.send({
				kind: 'stop-answered', agent, incarnation, orders: reply.result.confirmed,
			});
			break;
		}

		case 'failed': {
			counters.countRetry(`stop-${reply.delivery}`);
			context.log.withPrefix('orders').warn({
				agent, tasks: orders, delivery: reply.delivery, reason: reply.message,
			}, 'stop order failed');
		}
	}
}
