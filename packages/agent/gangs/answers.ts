import type {GangAnswer} from '#protocol';
import type {ReservationAnswer} from '#reservations';

/** Converts the reservations task's answer to a `reserve`, `commit` or `start` message into the answer that the entry receives. */
export function toGangAnswer(answer: ReservationAnswer): GangAnswer {
	switch (answer.kind) {
		case 'accepted':
		case 'reclaiming':
		case 'refused': {
			return answer;
		}

		case 'renewed':
		case 'never-started':
		case 'stopped':
		case 'finished':
		case 'found': {
			return {kind: 'refused', reason: 'invalid-request'};
		}
	}
}
