/** Entries with the drivers of their jobs on virtual time. */
import type {
	EntryId, JobId, WorkerId, ZoneName,
} from '#core';
import {gangLeaseMilliseconds, gangRenewIntervalMilliseconds, reservationLeaseMilliseconds} from '#protocol';
import {adoptJob, isTerminal, listMembers} from '#recovery';
import type {ReservationAnswer, ReservationMessage} from '#reservations';
import {
	createAdoptionState, receiveAdoptionMessage, type AdoptionMessage, type AdoptionState,
} from '../../../packages/entry/jobs/adoption.js';
import {createDriverState} from '../../../packages/entry/jobs/driver-state.js';
import type {
	DriverEffect, DriverMessage, DriverState, CallFailure,
} from '../../../packages/entry/jobs/driver-types.js';
import {receiveDriverMessage} from '../../../packages/entry/jobs/driver.js';
import {groupRenewals} from '../../../packages/entry/jobs/renewals.js';
import type {Agent} from './agents.js';
import type {Network} from './network.js';
import type {JobStore} from './store.js';

const callTimeout = 2000;
const entryLease = 10_000;
export const zone = 'north-a' as ZoneName;

export type Entry = {
	id: EntryId;
	isAlive: boolean;
	pausedUntil: number;
	registeredUntil: number;
	adoption: AdoptionState;
	drivers: Map<JobId, DriverState>;
};

type Target = Readonly<{worker: WorkerId; incarnation: string}>;

type AgentEffect = Extract<DriverEffect, {kind: 'reserve' | 'commit' | 'raise' | 'start' | 'find' | 'stop'}>;

export type EntriesOptions = Readonly<{
	network: Network;
	store: JobStore;
	agents: ReadonlyMap<WorkerId, Agent>;
	tellAgent(agent: Agent, incarnation: number, message: ReservationMessage): void;
	place(request: Extract<DriverEffect, {kind: 'place'}>['request']): Extract<DriverMessage, {kind: 'placed'}>['answer'];
}>;

export function createEntries({network, store, agents, tellAgent, place}: EntriesOptions) {
	const {clock, later, random} = network;
	const entries = new Map<EntryId, Entry>();
	let nextReply = 1;

	const callAgent = (entry: Entry, target: Target, create: (replyId: number) => ReservationMessage, receive: (answer: ReservationAnswer | CallFailure) => void) => {
		const agent = agents.get(target.worker)!;
		if (String(agent.incarnation) !== target.incarnation) {
			later(1, () => {
				receive({kind: 'gone'});
			});
			return;
		}

		const replyId = nextReply++;
		const {incarnation} = agent;
		let isAnswered = false;
		const settle = (answer: ReservationAnswer | CallFailure) => {
			if (!isAnswered) {
				isAnswered = true;
				receive(answer);
			}
		};

		agent.replies.set(replyId, answer => {
			network.transmit(() => {
				settle(answer);
			});
		});
		network.transmit(() => {
			agent.owner = entry.id;
			tellAgent(agent, incarnation, create(replyId));
		});
		later(callTimeout, () => {
			settle({kind: 'unreachable'});
		});
	};

	const drive = (entry: Entry, job: JobId, message: DriverMessage) => {
		network.whenAwake(entry, () => {
			const state = entry.drivers.get(job);
			if (!entry.isAlive || state === undefined) {
				return;
			}

			const step = receiveDriverMessage(state, message, network.present());
			entry.drivers.set(job, step.state);
			for (const effect of step.effects) {
				perform(entry, job, effect);
			}
		});
	};

	const perform = (entry: Entry, job: JobId, effect: DriverEffect): void => {
		const send = (message: DriverMessage) => {
			drive(entry, job, message);
		};

		switch (effect.kind) {
			case 'write-record': {
				later(2, () => {
					const reply = store.write(effect.record, effect.expectedVersion);
					const isLost = network.losesWriteAnswer();
					later(isLost ? 1000 : 2, () => {
						send({kind: 'stored', writeId: effect.record.writeId, reply: isLost ? {kind: 'unavailable', effect: 'perhaps-applied', message: 'answer lost'} : reply});
					});
				});
				break;
			}

			case 'place': {
				const answer = place(effect.request);
				later(5, () => {
					send({kind: 'placed', answer});
				});
				break;
			}

			case 'schedule': {
				later(effect.delay, () => {
					send(effect.message);
				});
				break;
			}

			case 'back-off': {
				later(100 + (random() * Math.min(5000, 100 * (2 ** effect.failures))), () => {
					send(effect.message);
				});
				break;
			}

			case 'concluded': {
				if (!effect.isOwner) {
					entry.drivers.delete(job);
				}

				break;
			}

			case 'reserve':
			case 'commit':
			case 'raise':
			case 'start':
			case 'find':
			case 'stop': {
				const member = listMembers(effect.record).find(candidate => candidate.place.worker === effect.worker)!;
				callAgent(entry, member.place, replyId => createCall(effect, replyId), answer => {
					send(toDriverMessage(effect, answer));
				});
			}
		}
	};

	const renew = (entry: Entry) => {
		network.whenAwake(entry, () => {
			for (const {place: target, gangs} of groupRenewals(entry.isAlive ? [...entry.drivers.values()] : [])) {
				callAgent(entry, target, replyId => ({
					kind: 'renew', gangs, leaseMilliseconds: gangLeaseMilliseconds, replyId,
				}), answer => {
					for (const {job, raiseTo = 0} of gangs) {
						drive(entry, job, {kind: describeRenewal(answer, job), worker: target.worker, attempt: raiseTo});
					}
				});
			}
		});
		later(gangRenewIntervalMilliseconds, () => {
			renew(entry);
		});
	};

	const adopt = (entry: Entry, message: AdoptionMessage) => {
		const step = receiveAdoptionMessage(entry.adoption, message);
		entry.adoption = step.state;
		for (const effect of step.effects) {
			switch (effect.kind) {
				case 'search': {
					const found = [...store.values.values()].filter(({record}) => !isTerminal(record)).map(({record, version}) => ({
						zone, owner: record.owner, job: record.work.jobId, cancelRequested: false, version,
					}));
					adopt(entry, {kind: 'searched', found, driven: new Set(entry.drivers.keys())});
					break;
				}

				case 'adopt': {
					const {job, version} = effect.ownership;
					const adopted = adoptJob(store.values.get(job)!.record, {owner: entry.id, zone});
					later(2 + (random() * 5), () => {
						const reply = store.write(adopted, version);
						if (reply.kind === 'written') {
							entry.drivers.set(job, createDriverState(adopted, reply.version));
							drive(entry, job, {kind: 'opened'});
						}
					});
					break;
				}

				case 'schedule-tick': {
					later(1500 + (random() * 1000), () => {
						tick(entry);
					});
				}
			}
		}
	};

	const tick = (entry: Entry) => {
		network.whenAwake(entry, () => {
			if (entry.isAlive) {
				const registered = new Set([...entries.values()].filter(other => other.registeredUntil > clock.monotonic()).map(({id}) => id));
				entry.registeredUntil = clock.monotonic() + entryLease;
				adopt(entry, {kind: 'tick', registered: new Set([...registered, entry.id])});
			}
		});
	};

	return {
		entries,
		drive,
		create(number: number): Entry {
			const id = `entry-${number}` as EntryId;
			const entry: Entry = {
				id, isAlive: true, pausedUntil: 0, registeredUntil: entryLease, adoption: createAdoptionState(id), drivers: new Map(),
			};
			entries.set(id, entry);
			tick(entry);
			renew(entry);
			return entry;
		},
	};
}

function describeRenewal(answer: ReservationAnswer | CallFailure, job: JobId): 'lapsed' | 'members-ended' | 'renewed' | 'renewal-failed' {
	if (answer.kind !== 'renewed') {
		return answer.kind === 'gone' ? 'lapsed' : 'renewal-failed';
	}

	const isSame = (reference: Readonly<{job: JobId}>) => reference.job === job;
	if (answer.lapsed.some(isSame)) {
		return 'lapsed';
	}

	return answer.ended.some(isSame) ? 'members-ended' : 'renewed';
}

function createCall(effect: AgentEffect, replyId: number): ReservationMessage {
	const {record} = effect;
	const {attempt, submittedAt, work: {jobId: job, plan, preemptible, kind: operation, payload}} = record;
	switch (effect.kind) {
		case 'reserve': {
			return {
				kind: 'reserve', job, attempt, plan, submittedAt, preemptible, members: effect.members, leaseMilliseconds: reservationLeaseMilliseconds, replyId,
			};
		}

		case 'commit': {
			return {
				kind: 'commit', job, attempt, leaseMilliseconds: gangLeaseMilliseconds, replyId,
			};
		}

		case 'raise': {
			const heldAs = record.state.kind === 'running' ? record.state.heldAs : attempt;
			return {
				kind: 'renew', gangs: [{job, attempt: heldAs, raiseTo: attempt}], leaseMilliseconds: gangLeaseMilliseconds, replyId,
			};
		}

		case 'start': {
			return {
				kind: 'start', job, attempt, operation, payload, checkpoints: effect.checkpoints, leaseMilliseconds: gangLeaseMilliseconds, replyId,
			};
		}

		case 'find': {
			return {kind: 'find', job, replyId};
		}

		case 'stop': {
			return {
				kind: 'stop', job, attempt, mode: effect.mode, replyId,
			};
		}
	}
}

function toDriverMessage({kind, record: {attempt}, worker}: AgentEffect, answer: ReservationAnswer | CallFailure): DriverMessage {
	switch (kind) {
		case 'find': {
			return {
				kind: 'found', attempt, worker, answer: answer as Extract<DriverMessage, {kind: 'found'}>['answer'],
			};
		}

		case 'stop': {
			return {
				kind: 'stop-answered', attempt, worker, answer: answer as Extract<DriverMessage, {kind: 'stop-answered'}>['answer'],
			};
		}

		case 'reserve':
		case 'commit':
		case 'raise':
		case 'start': {
			const raised = answer.kind === 'renewed' ? {kind: answer.lapsed.length === 0 ? 'accepted' : 'refused', reason: 'lease-lapsed'} : answer;
			return {
				kind: 'answered', step: kind, attempt, worker, answer: raised as Extract<DriverMessage, {kind: 'answered'}>['answer'],
			};
		}
	}
}
