/** Agents with their workers on virtual time. */
import type {JobId, WorkerId} from '#core';
import {gangLeaseMilliseconds, reclaimGraceMilliseconds} from '#protocol';
import {
	createReservationState, receiveReservationMessage, type Cell, type MemberState, type ReservationAnswer, type ReservationEffect, type ReservationMessage, type ReservationState, type TaskReference,
} from '#reservations';
import type {Network} from './network.js';
import type {Observer} from './observer.js';

type WorkerTask = {accelerators: readonly number[]; job: JobId; member: number; leaseEndsAt: number; isStubborn: boolean};

export type Agent = {
	worker: WorkerId;
	incarnation: number;
	state: ReservationState;
	tasks: Map<string, WorkerTask>;
	pausedUntil: number;
	replies: Map<number, (answer: ReservationAnswer) => void>;
	/** The entry that called last. */
	owner: string | undefined;
};

/** Payload of the tasks: how long they run, whether they fail, and whether they ignore a request to checkpoint. */
type Payload = Readonly<{milliseconds?: number; fails?: boolean; isStubborn?: boolean}>;

export type AgentsOptions = Readonly<{
	network: Network;
	accelerators: number;
	getObserver(): Observer;
	/** Tells the owner; the second argument acknowledges. */
	notify(agent: Agent, ended: Readonly<{job: JobId; attempt: number; member: number; state: MemberState}>, acknowledge: () => void): void;
}>;

const taskIdOf = ({job, attempt, member}: TaskReference) => `${job}/${attempt}/${member}`;

export function createAgents({network, accelerators, getObserver, notify}: AgentsOptions) {
	const {clock, later} = network;

	const tell = (agent: Agent, incarnation: number, message: ReservationMessage) => {
		network.whenAwake(agent, () => {
			if (agent.incarnation !== incarnation) {
				return;
			}

			const step = receiveReservationMessage(agent.state, message, network.present());
			agent.state = step.state;
			getObserver().observe();
			for (const effect of step.effects) {
				perform(agent, effect);
			}

			getObserver().observe();
		});
	};

	const endTask = (agent: Agent, message: Extract<ReservationMessage, {kind: 'task-finished' | 'task-stopped'}>) => {
		if (agent.tasks.delete(taskIdOf(message.task))) {
			getObserver().observe();
			const {incarnation} = agent;
			later(1, () => {
				tell(agent, incarnation, message);
			});
		}
	};

	/** The worker stops a task whose lease ends, also while the agent is paused. */
	const watchLease = (agent: Agent, task: TaskReference, started: WorkerTask) => {
		later(Math.max(1, started.leaseEndsAt - clock.monotonic()), () => {
			if (agent.tasks.get(taskIdOf(task)) !== started) {
				return;
			}

			if (started.leaseEndsAt > clock.monotonic()) {
				watchLease(agent, task, started);
			} else {
				endTask(agent, {kind: 'task-stopped', task, wasStarted: true});
			}
		});
	};

	const startTask = (agent: Agent, effect: Extract<ReservationEffect, {kind: 'start-task'}>) => {
		const {task, leaseMilliseconds} = effect;
		const {milliseconds = 1000, fails = false, isStubborn = false} = effect.payload as Payload;
		getObserver().checkStart(task.job, task.attempt, task.member);
		const started: WorkerTask = {
			accelerators: effect.accelerators, job: task.job, member: task.member, leaseEndsAt: clock.monotonic() + leaseMilliseconds, isStubborn,
		};
		agent.tasks.set(taskIdOf(task), started);
		watchLease(agent, task, started);
		later(milliseconds, () => {
			endTask(agent, {
				kind: 'task-finished', task, status: fails ? 'failed' : 'succeeded', body: {member: task.member},
			});
		});
	};

	const perform = (agent: Agent, effect: ReservationEffect): void => {
		const {incarnation} = agent;
		switch (effect.kind) {
			case 'reply': {
				agent.replies.get(effect.replyId)?.(effect.answer);
				break;
			}

			case 'start-task': {
				startTask(agent, effect);
				break;
			}

			case 'renew-tasks': {
				for (const reference of effect.tasks) {
					const task = agent.tasks.get(taskIdOf(reference));
					if (task !== undefined) {
						task.leaseEndsAt = clock.monotonic() + effect.leaseMilliseconds;
					}
				}

				break;
			}

			case 'checkpoint-task': {
				const {task} = effect;
				if (agent.tasks.get(taskIdOf(task))?.isStubborn === false) {
					later(100, () => {
						tell(agent, incarnation, {kind: 'task-checkpointed', task, checkpoint: {member: task.member}});
					});
				}

				break;
			}

			case 'stop-task': {
				later(5, () => {
					endTask(agent, {kind: 'task-stopped', task: effect.task, wasStarted: true});
				});
				break;
			}

			case 'notify-ended': {
				const {job, attempt, member} = effect;
				notify(agent, effect, () => {
					tell(agent, incarnation, {
						kind: 'ended-acknowledged', job, attempt, member,
					});
				});
				break;
			}

			case 'schedule-tick': {
				later(effect.delay, () => {
					tell(agent, incarnation, {kind: 'tick'});
				});
			}
		}
	};

	return {
		tell,
		create(number: number, cells: readonly Cell[]): Agent {
			const agent: Agent = {
				worker: `worker-${number}` as WorkerId,
				incarnation: 1,
				state: createReservationState({accelerators, graceMilliseconds: reclaimGraceMilliseconds, acceptsFrom: 0}),
				tasks: new Map(),
				pausedUntil: 0,
				replies: new Map(),
				owner: undefined,
			};
			later(0, () => {
				tell(agent, 1, {kind: 'slice-received', cells, layoutRevision: 1});
				tell(agent, 1, {kind: 'tick'});
			});
			return agent;
		},
		/** A new incarnation forgets everything; tasks of the earlier one run until their leases end. */
		restart(agent: Agent) {
			const state = createReservationState({
				accelerators, graceMilliseconds: reclaimGraceMilliseconds, acceptsFrom: clock.monotonic() + gangLeaseMilliseconds,
			});
			agent.incarnation++;
			agent.state = {...state, cells: agent.state.cells, layoutRevision: agent.state.layoutRevision};
			tell(agent, agent.incarnation, {kind: 'tick'});
		},
	};
}
