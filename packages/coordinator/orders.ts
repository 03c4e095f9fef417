/** Sends the scheduler's orders to agents. */
import type {SchedulerEffect, StartAnswer} from '#scheduling';
import {orderTimeoutMilliseconds} from './constants.js';
import {agentsService} from './plugins/agents.js';
import {holdsLeadership, leadershipService} from './plugins/leadership.js';
import type {Term} from './plugins/scheduler.js';
import type {CoordinatorContext} from './types.js';

type StartEffect = Extract<SchedulerEffect, {kind: 'start'}>;
type StopEffect = Extract<SchedulerEffect, {kind: 'stop'}>;

export async function sendStarts({agent, incarnation, specification, orders}: StartEffect, term: Term, context: CoordinatorContext): Promise<void> {
	const {services, clock, counters} = context;
	const answerAll = (result: StartAnswer['result']) => {
		term.task.send({kind: 'start-answered', agent, answers: orders.map(({task, run}) => ({task, run, result}))});
	};

	const worker = term.task.read().workers.get(agent)?.snapshot.worker;
	const isRecorded = worker !== undefined && await term.workersRecord.ensureStored({agent, worker});
	const peer = services.use(agentsService).find(agent);
	if (term.isOver()) {
		return;
	}

	if (!isRecorded || peer === undefined || !holdsLeadership(context)) {
		counters.countRetry('start-not-sent');
		answerAll('too-late');
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
			answerAll(reply.delivery === 'never-sent' ? 'too-late' : 'unknown');
		}
	}
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
			term.task.send({kind: 'stop-answered', agent, orders: reply.result.confirmed});
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
