import {createServiceKey, type PendingReplies, type TaskHandle} from '#kernel';
import type {ReservationAnswer, ReservationMessage, ReservationState} from '#reservations';
import type {RpcPeer} from '#transport';
import type {AgentContext} from '../types.js';
import type {OwnersMessage, OwnersState} from './owners.js';

/** The task that owns the worker's accelerators. */
export const reservationsService = createServiceKey<TaskHandle<ReservationState, ReservationMessage>>('reservations');
export const reservationAnswersService = createServiceKey<PendingReplies<ReservationAnswer>>('reservation-answers');
/** The task that knows which connection leads to the owner of each job. */
export const gangOwnersService = createServiceKey<TaskHandle<OwnersState, OwnersMessage>>('gang-owners');

/** Sends a message to the task that owns the accelerators and waits for its answer. */
export async function askReservations({services}: AgentContext, createMessage: (replyId: number) => ReservationMessage): Promise<ReservationAnswer> {
	return services.use(reservationAnswersService).request(replyId => {
		services.use(reservationsService).send(createMessage(replyId));
	});
}

/** Ends of a job's members are told over the connection whose messages were accepted last. */
export function rememberOwner({services}: AgentContext, jobs: OwnersMessage['jobs'], peer: RpcPeer): void {
	services.use(gangOwnersService).send({kind: 'heard', jobs, peer});
}
