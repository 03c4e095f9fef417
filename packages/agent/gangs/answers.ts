import type {GangAnswer} from '#protocol';
import type {ReservationAnswer} from '#reservations';

/** Converts the answer to a reservation, commit or start to the form that is sent to the entry. */
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
