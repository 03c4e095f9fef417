import type {MonotonicTime} from '#core';
import {maximumReservationMilliseconds, reservationDelayMilliseconds} from './constants.js';
import {isUtilizationLow} from './low-rank.js';
import {
	withReclaimableRoom, withRoomWithin, type Pool, type PoolWorker,
} from './pool.js';
import {
	countPlaced, distributeTasks, listCandidates, listRacksToWaitFor,
} from './place.js';
import type {AgentName} from './types.js';
import type {SchedulingUnit} from './units.js';

/** Predicts the room of a worker for which a gang may wait. */
type RoomForecast = (candidate: PoolWorker) => PoolWorker;

/** Finds the workers to keep free for a gang that has waited for long; undefined if it is not expected to start there. Nothing else starts there meanwhile, so that at low utilization it has to be soon. */
export function findReservation(unit: SchedulingUnit, pool: Pool, monotonic: MonotonicTime): readonly AgentName[] | undefined {
	const delay = unit.rank === 0 ? 0 : reservationDelayMilliseconds;
	if (!unit.step.isGang || unit.isLate || monotonic - unit.waitingSince < delay) {
		return undefined;
	}

	const candidates = listCandidates(unit, pool);
	const racks = listRacksToWaitFor(unit, candidates, monotonic);
	const forecast: RoomForecast = isUtilizationLow(pool) ? candidate => withRoomWithin(candidate, maximumReservationMilliseconds, monotonic) : withReclaimableRoom;
	return (racks.length > 0 ? racks : [candidates])
		.map(group => reserveAmong(unit, group, forecast))
		.find(agents => agents !== undefined);
}

/** Takes the workers with the most free accelerators first, until the whole gang is expected to have room. */
function reserveAmong(unit: SchedulingUnit, candidates: readonly PoolWorker[], forecast: RoomForecast): readonly AgentName[] | undefined {
	const agents: AgentName[] = [];
	let count = 0;
	for (const candidate of candidates.toSorted((first, second) => second.free.accelerators - first.free.accelerators)) {
		if (count >= unit.tasks.length) {
			break;
		}

		const fitting = countPlaced(distributeTasks(unit, [forecast(candidate)]));
		if (fitting > 0) {
			count += fitting;
			agents.push(candidate.worker.agent);
		}
	}

	return count < unit.tasks.length ? undefined : agents;
}
