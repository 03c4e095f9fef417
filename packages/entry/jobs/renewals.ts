import type {Place, WorkerId} from '#core';
import type {RenewParameters} from '#protocol';
import {listMembers} from '#recovery';
import {listActiveWorkers, needsRenewal} from './driver-state.js';
import type {DriverState} from './driver-types.js';

/** Gang leases that are renewed at one agent with one message. */
export type RenewalGroup = Readonly<{place: Place; gangs: RenewParameters['gangs']}>;

/** Groups the gangs to renew by agent incarnation. */
export function groupRenewals(drivers: readonly DriverState[]): readonly RenewalGroup[] {
	const groups = new Map<WorkerId, {place: Place; gangs: Array<RenewParameters['gangs'][number]>}>();
	for (const driver of drivers.filter(needsRenewal)) {
		const {record} = driver;
		const attempt = record.state.kind === 'running' ? record.state.heldAs : record.attempt;
		const gang = {job: record.work.jobId, attempt, raiseTo: record.attempt};
		for (const worker of listActiveWorkers(driver)) {
			const place = listMembers(record).find(member => member.place.worker === worker)?.place;
			if (place !== undefined) {
				const key = `${worker}/${place.incarnation}` as WorkerId;
				const group = groups.get(key) ?? {place, gangs: []};
				groups.set(key, group);
				group.gangs.push(gang);
			}
		}
	}

	return [...groups.values()];
}
