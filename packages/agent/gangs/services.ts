import {createServiceKey, type PendingReplies, type TaskHandle} from '#kernel';
import type {ReservationAnswer, ReservationMessage, ReservationState} from '#reservations';
import type {RpcPeer} from '#transport';
import type {AgentContext} from '../types.js';
import type {OwnersMessage, OwnersState} from './owners.js';

/** Task that owns the worker's accelerators. */
export const reservationsService = createServiceKey<TaskHandle<ReservationState, ReservationMessage>>('reservations');
export const reservationAnswersService = createServiceKey<PendingReplies<ReservationAnswer>>('reservation-answers');
/** Task that tracks the connection to the owner of each job. */
export const gangOwnersService = createServiceKey<TaskHandle<OwnersState, OwnersMessage>>('gang-owners');

/** Sends a message to the reservations task and waits for its answer. */
export async function sendToReservations({services}: AgentContext, createMessage: (replyId: number) => ReservationMessage): Promise<ReservationAnswer> {
	return services.use(reservationAnswersService).request(replyId => {
		services.use(reservationsService).send(createMessage(replyId));
	});
}

/** Records the connection on which the owner of the jobs is notified of ended gang members: that of its latest accepted message. */
export function recordOwner({services}: AgentContext, jobs: OwnersMessage['jobs'], peer: RpcPeer): void {
	services.use(gangOwnersService).send({kind: 'owner-contacted', jobs, peer});
}
