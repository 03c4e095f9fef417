import {createPendingReplies, startTask, type TaskHandle} from '#kernel';
import {gangLeaseMilliseconds, reclaimGraceMilliseconds} from '#protocol';
import {
	createReservationState, isSettled, listHoldings, receiveReservationMessage, type ReservationAnswer, type ReservationEffect, type ReservationMessage, type ReservationState,
} from '#reservations';
import {clearWorker} from '../gangs/clear-worker.js';
import {initialOwnersState, receiveOwnersMessage} from '../gangs/owners.js';
import {gangOwnersService, reservationAnswersService, reservationsService} from '../gangs/services.js';
import {
	checkpointTask, runTask, stopTask, taskIdOf,
} from '../gangs/tasks.js';
import {agentPlugins} from '../plugins.js';
import type {AgentContext} from '../types.js';
import {drainService} from './drain.js';
import {holdingsService} from './holdings.js';
import {sliceService} from './slice.js';
import {workerClientService} from './worker-client.js';

const endNotificationTimeoutMilliseconds = 2000;

agentPlugins.register({
	kind: 'task',
	name: 'gang-reservations',
	start(context) {
		const {settings, clock, services} = context;
		const answers = createPendingReplies<ReservationAnswer>();
		const owners = startTask(
			{name: 'gang-owners', initialState: initialOwnersState, receive: receiveOwnersMessage},
			{clock, perform() {/* The task has no effects. */}},
		);
		const reservations = startTask({
			name: 'reservations',
			initialState: createReservationState({
				accelerators: settings.accelerators,
				graceMilliseconds: reclaimGraceMilliseconds,
				acceptsFrom: clock.monotonic() + gangLeaseMilliseconds,
			}),
			receive: receiveReservationMessage,
		}, {
			clock,
			perform(effect, send) {
				if (effect.kind === 'reply') {
					answers.resolve(effect.replyId, effect.answer);
				} else {
					void performEffect(effect, context, send);
				}
			},
		});
		services.provide(reservationAnswersService, answers);
		services.provide(gangOwnersService, owners);
		services.provide(reservationsService, reservations);
		services.provide(holdingsService, () => listHoldings(reservations.read()));
		const unsubscribe = services.use(sliceService).subscribe(({current}) => {
			if (current !== undefined && current.layoutRevision > reservations.read().layoutRevision) {
				reservations.send({kind: 'slice-received', cells: current.cells, layoutRevision: current.layoutRevision});
			}
		});
		services.use(drainService).add(async () => {
			reservations.send({kind: 'drain'});
			await waitUntilSettled(reservations);
		});
		reservations.send({kind: 'tick'});
		let isStopped = false;
		void (async () => {
			await clearWorker(services.use(workerClientService), clock, () => isStopped);
			reservations.send({kind: 'worker-cleared'});
		})();

		return () => {
			isStopped = true;
			unsubscribe();
			reservations.stop();
			owners.stop();
		};
	},
});

async function waitUntilSettled(reservations: TaskHandle<ReservationState, ReservationMessage>): Promise<void> {
	await new Promise<void>(resolve => {
		const resolveIfSettled = (state: ReservationState) => {
			if (isSettled(state)) {
				resolve();
			}
		};

		reservations.subscribe(resolveIfSettled);
		resolveIfSettled(reservations.read());
	});
}

type Send = (message: ReservationMessage) => void;

async function performEffect(effect: Exclude<ReservationEffect, {kind: 'reply'}>, context: AgentContext, send: Send): Promise<void> {
	const client = context.services.use(workerClientService);
	const report = (message: ReservationMessage | undefined) => {
		if (message !== undefined) {
			send(message);
		}
	};

	switch (effect.kind) {
		case 'start-task': {
			const {task, operation, payload, accelerators, leaseMilliseconds, checkpoint} = effect;
			report(await runTask(client, task, {
				taskId: taskIdOf(task), kind: operation, payload, accelerators, leaseMilliseconds, ...(checkpoint === undefined ? {} : {checkpoint}),
			}));
			break;
		}

		case 'renew-tasks': {
			await client.renew(effect.tasks.map(taskIdOf), effect.leaseMilliseconds);
			break;
		}

		case 'checkpoint-task': {
			report(await checkpointTask(client, effect.task));
			break;
		}

		case 'stop-task': {
			report(await stopTask(client, effect.task));
			break;
		}

		case 'notify-ended': {
			report(await notifyEnded(effect, context));
			break;
		}

		case 'schedule-tick': {
			context.clock.schedule(effect.delay, () => {
				send({kind: 'tick'});
			});
		}
	}
}

/** Notifies the owner of the job; without an acknowledgement the notification is repeated later. */
async function notifyEnded(
	{job, attempt, member, state}: Extract<ReservationEffect, {kind: 'notify-ended'}>,
	{services, settings}: AgentContext,
): Promise<ReservationMessage | undefined> {
	const peer = services.use(gangOwnersService).read().peers.get(job);
	const reply = await peer?.call('gang.ended', {
		job, attempt, worker: settings.worker, member, state,
	}, endNotificationTimeoutMilliseconds);
	return reply?.kind === 'answered'
		? {
			kind: 'ended-acknowledged', job, attempt, member,
		}
		: undefined;
}
