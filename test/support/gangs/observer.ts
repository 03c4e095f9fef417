/** Checks the invariants of gangs while a cluster runs. */
import type {JobId} from '#core';
import type {VirtualClock} from '#kernel';
import {listMembers, type JobRecord} from '#recovery';
import type {Agent} from './agents.js';

export type Observer = ReturnType<typeof createObserver>;

/**
@param readRecord - The stored record of a job; undefined where the test starts members without one.
*/
export function createObserver(clock: VirtualClock, agents: ReadonlyMap<string, Agent>, readRecord: (job: JobId) => JobRecord | undefined) {
	const violations: string[] = [];
	const starts = new Map<string, number>();
	/** Agents that committed their part of a gang, by job, attempt and worker. */
	const committed = new Set<string>();
	const partialSince = new Map<JobId, number>();
	let longestPartial = 0;

	const observePartial = (gangs: ReadonlyMap<JobId, ReadonlySet<number>>) => {
		for (const job of new Set([...gangs.keys(), ...partialSince.keys()])) {
			const running = gangs.get(job)?.size ?? 0;
			const size = readRecord(job)?.work.gang.members ?? 4;
			if (running === 0 || running === size) {
				partialSince.delete(job);
			} else {
				partialSince.set(job, partialSince.get(job) ?? clock.monotonic());
				longestPartial = Math.max(longestPartial, clock.monotonic() - partialSince.get(job)!);
			}
		}
	};

	return {
		violations,
		starts,
		/** Longest time in which a part of a gang ran without the rest. */
		longestPartial: () => longestPartial,
		observe() {
			const gangs = new Map<JobId, Set<number>>();
			for (const agent of agents.values()) {
				const held = [...agent.tasks.values()].flatMap(({accelerators}) => accelerators);
				if (new Set(held).size !== held.length) {
					violations.push(`${agent.worker} holds an accelerator twice`);
				}

				for (const {job, member} of agent.tasks.values()) {
					gangs.set(job, (gangs.get(job) ?? new Set()).add(member));
				}

				for (const {job, taskAttempt, phase} of agent.state.gangs.values()) {
					if (phase.kind === 'committed' || phase.kind === 'started') {
						committed.add(`${job}/${taskAttempt}/${agent.worker}`);
					}
				}
			}

			observePartial(gangs);
		},
		checkStart(job: JobId, attempt: number, member: number) {
			const key = `${job}/${member}`;
			starts.set(key, (starts.get(key) ?? 0) + 1);
			const record = readRecord(job);
			if (record === undefined) {
				return;
			}

			if (!record.work.idempotent && starts.get(key)! > 1) {
				violations.push(`${key} started twice`);
			}

			if (record.state.kind !== 'running' || record.attempt < attempt) {
				violations.push(`${key} started under attempt ${attempt} while the record says ${record.state.kind} ${record.attempt}`);
			}

			for (const {place} of listMembers(record)) {
				if (!committed.has(`${job}/${attempt}/${place.worker}`)) {
					violations.push(`${key} started before ${place.worker} committed its part of attempt ${attempt}`);
				}
			}
		},
	};
}
