/** Agents, entries and a store on virtual time, joined by a network that loses, delays, repeats and reorders messages. */
import {
	createRandomSource, type EntryId, type Incarnation, type JobId, type JobWork, type PlanName, type RackName, type WorkerId, type ZoneName,
} from '#core';
import {createVirtualClock} from '#kernel';
import {placeGang} from '#placement';
import {
	gangLeaseMilliseconds, gangRenewIntervalMilliseconds, reclaimGraceMilliseconds, reservationLeaseMilliseconds,
} from '#protocol';
import {
	adoptJob, canAdopt, createJobRecord, type JobRecord,
} from '#recovery';
import {
	createReservationState, listHoldings, receiveReservationMessage, type Cell, type ReservationAnswer, type ReservationEffect, type ReservationMessage, type ReservationState,
} from '#reservations';
import {createDriverState, needsRenewal} from '../../packages/entry/jobs/driver-state.js';
import type {DriverEffect, DriverMessage, DriverState} from '../../packages/entry/jobs/driver-types.js';
import {receiveDriverMessage} from '../../packages/entry/jobs/driver.js';

export type Faults = Readonly<{loss: number; repeat: number; maximumDelay: number; lostWriteAnswers: number}>;
export const noFaults: Faults = {
	loss: 0, repeat: 0, maximumDelay: 5, lostWriteAnswers: 0,
};

type WorkerTask = {accelerators: readonly number[]; job: JobId; member: number; leaseEndsAt: number; isStubborn: boolean};
type Agent = {
	worker: WorkerId; incarnation: number; state: ReservationState; tasks: Map<string, WorkerTask>; pausedUntil: number; replies: Map<number, (answer: ReservationAnswer) => void>; owner: string | undefined;
};
type Entry = {id: EntryId; isAlive: boolean; pausedUntil: number; registeredUntil: number; missing: Map<EntryId, number>; drivers: Map<JobId, DriverState>};

const faultyCallTimeout = 2000;
const entryLease = 10_000;
const zone = 'north-a' as ZoneName;

export const planOf = (name: string) => name as PlanName;
export const jobIdOf = (number: number) => `00000000-0000-7000-8000-${String(number).padStart(12, '0')}` as JobId;

/** Describes a job; `milliseconds` says how long its tasks run. */
export function createWork(number: number, overrides: Partial<Omit<JobWork, 'payload'>> & Readonly<{payload?: unknown}> = {}): JobWork {
	return {
		jobId: jobIdOf(number), plan: planOf('rosters'), kind: 'cut', idempotent: true, gang: {members: 2, acceleratorsPerMember: 4, adjacency: 'zone'}, preemptible: false, payload: {milliseconds: 1000}, ...overrides,
	};
}

export type ClusterOptions = Readonly<{seed: number; workers: number; accelerators: number; entries: number; cells?: ReadonlyMap<string, readonly Cell[]>}>;

export function createCluster(options: ClusterOptions) {
	const clock = createVirtualClock(1_000_000);
	const random = createRandomSource(options.seed);
	let faults = noFaults;
	let nextReply = 1;
	let mode: 'product' | 'naive' = 'product';
	const violations: string[] = [];
	const starts = new Map<string, number>();
	const store = new Map<JobId, Readonly<{record: JobRecord; version: number}>>();
	let storeVersion = 0;
	const runningSince = new Map<string, number>();
	/** Longest time in which a part of a gang ran without the rest, over all jobs. */
	let longestPartial = 0;

	const agents = new Map<WorkerId, Agent>();
	const entries = new Map<EntryId, Entry>();

	const present = () => ({now: clock.now(), monotonic: clock.monotonic()});
	const later = (delay: number, action: () => void) => {
		clock.schedule(delay, action);
	};

	/** Delivers a message zero, one or two times, after a delay of its own each time. */
	const transmit = (deliver: () => void) => {
		const copies = random() < faults.loss ? 0 : (random() < faults.repeat ? 2 : 1);
		for (let copy = 0; copy < copies; copy++) {
			later(1 + (random() * faults.maximumDelay), deliver);
		}
	};

	/** Runs the action once the process is no longer paused. */
	const whenAwake = (target: Readonly<{pausedUntil: number}>, action: () => void) => {
		if (target.pausedUntil > clock.monotonic()) {
			later(target.pausedUntil - clock.monotonic(), () => {
				whenAwake(target, action);
			});
		} else {
			action();
		}
	};

	const observe = () => {
		const gangs = new Map<JobId, Set<number>>();
		for (const agent of agents.values()) {
			const held = [...agent.tasks.values()].flatMap(({accelerators}) => accelerators);
			if (new Set(held).size !== held.length) {
				violations.push(`${agent.worker} holds an accelerator twice`);
			}

			for (const {job, member} of agent.tasks.values()) {
				gangs.set(job, (gangs.get(job) ?? new Set()).add(member));
			}
		}

		for (const [job, members] of gangs) {
			const size = store.get(job)?.record.work.gang.members ?? 0;
			if (members.size < size) {
				runningSince.set(job, runningSince.get(job) ?? clock.monotonic());
				longestPartial = Math.max(longestPartial, clock.monotonic() - runningSince.get(job)!);
			} else {
				runningSince.delete(job);
			}
		}

		for (const job of runningSince.keys()) {
			if (!gangs.has(job as JobId)) {
				runningSince.delete(job);
			}
		}
	};

	const tell = (agent: Agent, incarnation: number, message: ReservationMessage) => {
		whenAwake(agent, () => {
			if (agent.incarnation !== incarnation) {
				return;
			}

			const step = receiveReservationMessage(agent.state, message, present());
			agent.state = step.state;
			for (const effect of step.effects) {
				performAgentEffect(agent, effect);
			}

			observe();
		});
	};

	const endTask = (agent: Agent, taskId: string, message: ReservationMessage) => {
		if (agent.tasks.delete(taskId)) {
			const {incarnation} = agent;
			later(1, () => {
				tell(agent, incarnation, message);
			});
		}
	};

	const watchLease = (agent: Agent, taskId: string, task: WorkerTask, message: ReservationMessage) => {
		later(Math.max(1, task.leaseEndsAt - clock.monotonic()), () => {
			if (agent.tasks.get(taskId) !== task) {
				return;
			}

			if (task.leaseEndsAt > clock.monotonic()) {
				watchLease(agent, taskId, task, message);
			} else {
				endTask(agent, taskId, message);
			}
		});
	};

	const performAgentEffect = (agent: Agent, effect: ReservationEffect): void => {
		const {incarnation} = agent;
		switch (effect.kind) {
			case 'reply': {
				agent.replies.get(effect.replyId)?.(effect.answer);
				break;
			}

			case 'start-task': {
				const {task, payload, accelerators, leaseMilliseconds} = effect;
				const taskId = `${task.job}/${task.attempt}/${task.member}`;
				const {milliseconds = 1000, fails = false, isStubborn = false} = payload as Readonly<{milliseconds?: number; fails?: boolean; isStubborn?: boolean}>;
				checkStart(task.job, task.attempt, task.member);
				const started: WorkerTask = {
					accelerators, job: task.job, member: task.member, leaseEndsAt: clock.monotonic() + leaseMilliseconds, isStubborn,
				};
				agent.tasks.set(taskId, started);
				later(milliseconds, () => {
					endTask(agent, taskId, {
						kind: 'task-finished', task, status: fails ? 'failed' : 'succeeded', body: {member: task.member},
					});
				});
				watchLease(agent, taskId, started, {kind: 'task-stopped', task, wasStarted: true});
				break;
			}

			case 'renew-tasks': {
				for (const {job, attempt, member} of effect.tasks) {
					const task = agent.tasks.get(`${job}/${attempt}/${member}`);
					if (task !== undefined) {
						task.leaseEndsAt = clock.monotonic() + effect.leaseMilliseconds;
					}
				}

				break;
			}

			case 'checkpoint-task': {
				const {task} = effect;
				const running = agent.tasks.get(`${task.job}/${task.attempt}/${task.member}`);
				if (running !== undefined && !running.isStubborn) {
					later(100, () => {
						tell(agent, incarnation, {kind: 'task-checkpointed', task, checkpoint: {member: task.member}});
					});
				}

				break;
			}

			case 'stop-task': {
				const {task} = effect;
				later(5, () => {
					endTask(agent, `${task.job}/${task.attempt}/${task.member}`, {kind: 'task-stopped', task, wasStarted: true});
				});
				break;
			}

			case 'notify-ended': {
				const {job, attempt, member, state} = effect;
				const entry = [...entries.values()].find(({id}) => id === agent.owner);
				transmit(() => {
					if (entry?.isAlive === true && entry.drivers.has(job)) {
						drive(entry, job, {
							kind: 'ended', attempt, member, state,
						});
						transmit(() => {
							tell(agent, incarnation, {
								kind: 'ended-acknowledged', job, attempt, member,
							});
						});
					}
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

	/** Every other member of the gang must have been committed by its agent when the first one starts. */
	const checkStart = (job: JobId, attempt: number, member: number) => {
		const {record} = store.get(job)!;
		const key = `${job}/${member}`;
		starts.set(key, (starts.get(key) ?? 0) + 1);
		if (!record.work.idempotent && starts.get(key)! > 1) {
			violations.push(`${key} started twice`);
		}

		if (record.state.kind !== 'running' && mode === 'product') {
			violations.push(`${job} started while its record says ${record.state.kind}`);
		}

		if (record.attempt < attempt) {
			violations.push(`${job} started under an attempt that was not written`);
		}
	};

	const callAgent = (entry: Entry, worker: WorkerId, incarnation: string, call: Readonly<{
		create(replyId: number): ReservationMessage;
		receive(answer: ReservationAnswer | Readonly<{kind: 'unreachable'}> | Readonly<{kind: 'gone'}>): void;
	}>) => {
		const agent = agents.get(worker)!;
		if (String(agent.incarnation) !== incarnation) {
			later(1, () => {
				call.receive({kind: 'gone'});
			});
			return;
		}

		const replyId = nextReply++;
		const asked = agent.incarnation;
		let isAnswered = false;
		const settle = (answer: Parameters<typeof call.receive>[0]) => {
			if (!isAnswered) {
				isAnswered = true;
				call.receive(answer);
			}
		};

		agent.replies.set(replyId, answer => {
			transmit(() => {
				settle(answer);
			});
		});
		transmit(() => {
			if (agent.incarnation === asked) {
				agent.owner = entry.id;
				tell(agent, asked, call.create(replyId));
			}
		});
		later(faultyCallTimeout, () => {
			settle({kind: 'unreachable'});
		});
	};

	const drive = (entry: Entry, job: JobId, message: DriverMessage) => {
		whenAwake(entry, () => {
			const state = entry.drivers.get(job);
			if (!entry.isAlive || state === undefined) {
				return;
			}

			const step = receiveDriverMessage(state, message, present());
			entry.drivers.set(job, step.state);
			for (const effect of step.effects) {
				performDriverEffect(entry, job, effect);
			}
		});
	};

	const write = (record: JobRecord, expectedVersion: number) => {
		const {jobId} = record.work;
		const current = store.get(jobId);
		if ((current?.version ?? 0) !== expectedVersion) {
			return {kind: 'conflict', current: current === undefined ? undefined : {key: jobId, value: current.record, version: current.version}} as const;
		}

		store.set(jobId, {record, version: ++storeVersion});
		return {kind: 'written', version: storeVersion} as const;
	};

	const performDriverEffect = (entry: Entry, job: JobId, effect: DriverEffect): void => {
		const send = (message: DriverMessage) => {
			drive(entry, job, message);
		};

		switch (effect.kind) {
			case 'write-record': {
				later(2, () => {
					const reply = write(effect.record, effect.expectedVersion);
					const isLost = random() < faults.lostWriteAnswers;
					later(isLost ? 1000 : 2, () => {
						send({kind: 'stored', writeId: effect.record.writeId, reply: isLost ? {kind: 'unavailable', effect: 'perhaps-applied', message: 'answer lost'} : reply});
					});
				});
				break;
			}

			case 'place': {
				const workers = [...agents.values()].map(agent => ({
					worker: agent.worker, rack: 'rack-1' as RackName, accelerators: options.accelerators, cells: agent.state.cells, holdings: listHoldings(agent.state).filter(holding => holding.job !== job),
				}));
				const placement = placeGang({workers, isComplete: true}, effect.request);
				later(5, () => {
					send({
						kind: 'placed', answer: placement.kind === 'placed'
							? {
								kind: 'placed', members: placement.members.map(({member, worker, accelerators}) => ({
									member, accelerators, place: {worker, incarnation: String(agents.get(worker)!.incarnation) as Incarnation},
								})),
							}
							: (placement.kind === 'waiting' ? placement : {kind: 'impossible'}),
					});
				});
				break;
			}

			case 'reserve':
			case 'commit':
			case 'raise':
			case 'start':
			case 'find':
			case 'stop': {
				callForDriver(entry, effect);
				break;
			}

			case 'schedule': {
				later(effect.delay, () => {
					send(effect.message);
				});
				break;
			}

			case 'back-off': {
				later(50 + (random() * Math.min(5000, 100 * (2 ** effect.failures))), () => {
					send(effect.message);
				});
				break;
			}

			case 'concluded': {
				if (!effect.isOwner) {
					entry.drivers.delete(job);
				}
			}
		}
	};

	const callForDriver = (entry: Entry, effect: Extract<DriverEffect, {kind: 'reserve' | 'commit' | 'raise' | 'start' | 'find' | 'stop'}>) => {
		const {record, worker} = effect;
		const {jobId: job, plan, preemptible, kind: operation, payload} = record.work;
		const {attempt, submittedAt} = record;
		const members = record.state.kind === 'placing' || record.state.kind === 'running' ? record.state.members : [];
		const {incarnation} = members.find(({place}) => place.worker === worker)!.place;
		const heldAs = record.state.kind === 'running' ? record.state.heldAs : attempt;
		const create = (replyId: number): ReservationMessage => {
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
		};

		callAgent(entry, worker, incarnation, {
			create,
			receive(answer) {
				switch (effect.kind) {
					case 'find': {
						drive(entry, job, {
							kind: 'found', attempt, worker, answer: answer as Extract<DriverMessage, {kind: 'found'}>['answer'],
						});
						break;
					}

					case 'stop': {
						drive(entry, job, {
							kind: 'stop-answered', attempt, worker, answer: answer as Extract<DriverMessage, {kind: 'stop-answered'}>['answer'],
						});
						break;
					}

					case 'reserve':
					case 'commit':
					case 'raise':
					case 'start': {
						const raised = answer.kind === 'renewed'
							? (answer.lapsed.length === 0 ? {kind: 'accepted'} as const : {kind: 'refused', reason: 'lease-lapsed'} as const)
							: answer as Extract<DriverMessage, {kind: 'answered'}>['answer'];
						drive(entry, job, {
							kind: 'answered', step: effect.kind, attempt, worker, answer: raised,
						});
					}
				}
			},
		});
	};

	const renew = (entry: Entry) => {
		if (!entry.isAlive) {
			return;
		}

		whenAwake(entry, () => {
			for (const agent of agents.values()) {
				const held = [...entry.drivers.values()].filter(driver => needsRenewal(driver)).filter(({record}) => (record.state.kind === 'placing' || record.state.kind === 'running') && record.state.members.some(({place}) => place.worker === agent.worker));
				if (held.length === 0) {
					continue;
				}

				const gangs = held.map(({record}) => ({job: record.work.jobId, attempt: record.state.kind === 'running' ? record.state.heldAs : record.attempt, raiseTo: record.attempt}));
				callAgent(entry, agent.worker, String(agent.incarnation), {
					create: replyId => ({
						kind: 'renew', gangs, leaseMilliseconds: gangLeaseMilliseconds, replyId,
					}),
					receive(answer) {
						for (const {job, raiseTo: attempt} of gangs) {
							const isLapsed = answer.kind === 'renewed' && answer.lapsed.some(lapsed => lapsed.job === job);
							const kind = answer.kind === 'renewed' ? (isLapsed ? 'lapsed' : 'renewed') : 'renewal-failed';
							drive(entry, job, {kind, worker: agent.worker, attempt});
						}
					},
				});
			}
		});
		later(gangRenewIntervalMilliseconds, () => {
			renew(entry);
		});
	};

	/** Registers the entry and adopts jobs whose owner was missing in two rounds. */
	const lookAfterJobs = (entry: Entry) => {
		if (!entry.isAlive) {
			return;
		}

		whenAwake(entry, () => {
			const registered = new Set([...entries.values()].filter(other => other.registeredUntil > clock.monotonic()).map(({id}) => id));
			entry.registeredUntil = clock.monotonic() + entryLease;
			for (const {id} of entries.values()) {
				entry.missing.set(id, registered.has(id) ? 0 : (entry.missing.get(id) ?? 0) + 1);
			}

			for (const {record, version} of store.values()) {
				const isOrphan = record.owner === entry.id && !entry.drivers.has(record.work.jobId);
				const isMissing = (entry.missing.get(record.owner) ?? 0) >= 2 && record.owner !== entry.id;
				if (canAdopt(record, isOrphan || isMissing ? new Set() : registered) && (isOrphan || isMissing)) {
					const adopted = adoptJob(record, {owner: entry.id, zone});
					later(2 + (random() * 5), () => {
						const reply = write(adopted, version);
						if (reply.kind === 'written') {
							entry.drivers.set(record.work.jobId, createDriverState(adopted, reply.version));
							drive(entry, record.work.jobId, {kind: 'opened'});
						}
					});
				}
			}
		});
		later(1500 + (random() * 1000), () => {
			lookAfterJobs(entry);
		});
	};

	for (let index = 1; index <= options.workers; index++) {
		const worker = `worker-${index}` as WorkerId;
		const state = createReservationState({accelerators: options.accelerators, graceMilliseconds: reclaimGraceMilliseconds, acceptsFrom: 0});
		const agent: Agent = {
			worker, incarnation: 1, state, tasks: new Map(), pausedUntil: 0, replies: new Map(), owner: undefined,
		};
		agents.set(worker, agent);
		tell(agent, 1, {kind: 'slice-received', cells: options.cells?.get(worker) ?? [], layoutRevision: 1});
		tell(agent, 1, {kind: 'tick'});
	}

	for (let index = 1; index <= options.entries; index++) {
		const id = `entry-${index}` as EntryId;
		const entry: Entry = {
			id, isAlive: true, pausedUntil: 0, registeredUntil: entryLease, missing: new Map(), drivers: new Map(),
		};
		entries.set(id, entry);
		lookAfterJobs(entry);
		renew(entry);
	}

	return {
		clock,
		violations,
		starts,
		longestPartial: () => longestPartial,
		setFaults(next: Faults) {
			faults = next;
		},
		setNaive() {
			mode = 'naive';
		},
		submit(work: JobWork, entryNumber = 1) {
			const entry = entries.get(`entry-${entryNumber}` as EntryId)!;
			const record = createJobRecord(work, {owner: entry.id, zone}, clock.now());
			const reply = write(record, 0);
			if (reply.kind === 'written') {
				entry.drivers.set(work.jobId, createDriverState(record, reply.version));
				drive(entry, work.jobId, {kind: 'opened'});
			}
		},
		cancel(job: JobId) {
			for (const entry of entries.values()) {
				drive(entry, job, {kind: 'cancel'});
			}
		},
		killEntry(entryNumber: number) {
			entries.get(`entry-${entryNumber}` as EntryId)!.isAlive = false;
		},
		pauseEntry(entryNumber: number, duration: number) {
			entries.get(`entry-${entryNumber}` as EntryId)!.pausedUntil = clock.monotonic() + duration;
		},
		pauseAgent(workerNumber: number, duration: number) {
			agents.get(`worker-${workerNumber}` as WorkerId)!.pausedUntil = clock.monotonic() + duration;
		},
		restartAgent(workerNumber: number) {
			const agent = agents.get(`worker-${workerNumber}` as WorkerId)!;
			agent.incarnation++;
			agent.state = {...createReservationState({accelerators: options.accelerators, graceMilliseconds: reclaimGraceMilliseconds, acceptsFrom: clock.monotonic() + gangLeaseMilliseconds}), cells: agent.state.cells};
			tell(agent, agent.incarnation, {kind: 'tick'});
		},
		recordOf: (job: JobId) => store.get(job)!.record,
		driverOf: (job: JobId) => [...entries.values()].filter(({isAlive}) => isAlive).map(({drivers}) => drivers.get(job)).find(driver => driver !== undefined),
		stateOf: (job: JobId) => store.get(job)!.record.state.kind,
		running: () => [...agents.values()].flatMap(agent => [...agent.tasks.keys()]),
		agentOf: (workerNumber: number) => agents.get(`worker-${workerNumber}` as WorkerId)!,
		tellAgent(workerNumber: number, message: ReservationMessage) {
			const agent = agents.get(`worker-${workerNumber}` as WorkerId)!;
			tell(agent, agent.incarnation, message);
		},
	};
}

export type Cluster = ReturnType<typeof createCluster>;
