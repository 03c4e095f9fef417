/** Random sequences of jobs and failures against simulated workers: the scheduler's guarantees hold after every step. */
import {expect} from 'chai';
import * as fastCheck from 'fast-check';
import type {WorkerId} from '#core';
import type {
	EndedRun, JobStep, LostRun, TaskName,
} from '#jobs';
import {describeProgress, grantValidityMilliseconds, type SchedulerEffect} from '#scheduling';
import {lateCallMilliseconds} from '#supervision';
import {
	configuration, createDriver, keyOf, queueOf, snapshotOf, submissionOf, type Driver,
} from '#test/support/scheduling';

type StartOptions = Readonly<{
	epoch: number; now: number; duration: number; fails: boolean; crashes: boolean;
	/** Accelerators that the worker had reported when the start was sent, if not those of now. */
	capacity?: number;
}>;

/** A start that got no answer and has not been carried out yet; it was sent to the given incarnation. */
type LateStart = Readonly<{task: TaskName; run: number; step: JobStep; options: StartOptions; incarnation: number; at: number}>;

/** Longest lease that a worker grants. The clock of an earlier incarnation may be far ahead, and so the deadline of a start that was meant for it. */
const maximumLeaseMilliseconds = 6000;

type WorkerEvent =
	| Readonly<{kind: 'started'; task: TaskName; worker: SimulatedWorker; now: number}>
	| Readonly<{kind: 'ended' | 'end-expired'; task: TaskName; worker: SimulatedWorker; ending: string}>;

/** Simulates a worker: executes orders under leases, with fencing by epoch, independently of the scheduler's state. */
class SimulatedWorker {
	readonly runs = new Map<TaskName, {run: number; step: JobStep; until: number; duration: number; endsAt: number; fails: boolean; crashes: boolean}>();
	readonly highestRuns = new Map<TaskName, number>();
	ends: EndedRun[] = [];
	fencingEpoch = 0;
	endCount = 0;
	incarnation = 1;
	isDisconnected = false;
	accelerators = 8;
	/** What the agent reports of the runs that crashes ended. */
	lost: LostRun[] = [];
	/** What the scheduler was told; it keeps to this, while the worker starts whatever it is told to. */
	reportedAccelerators = 8;
	leaseUntil = grantValidityMilliseconds;
	/** Ends up to this number no longer count, since the lease expired before they were acknowledged. */
	expiredThrough = 0;
	lateStarts: LateStart[] = [];

	constructor(readonly agent: string, readonly listedEnds: number, readonly observe: (event: WorkerEvent) => void) {}

	/** The oldest ends; the others follow once these are acknowledged. */
	listEnds(): Readonly<{ended: readonly EndedRun[]; areEndsCut: boolean}> {
		return {ended: this.ends.slice(0, this.listedEnds), areEndsCut: this.ends.length >= this.listedEnds};
	}

	start(task: TaskName, run: number, step: JobStep, {capacity = this.reportedAccelerators, ...options}: StartOptions): 'started' | 'run-too-low' | 'superseded' {
		if (options.epoch < this.fencingEpoch) {
			return 'superseded';
		}

		this.fencingEpoch = options.epoch;
		if (run <= (this.highestRuns.get(task) ?? 0)) {
			return 'run-too-low';
		}

		const used = [...this.runs.values()].reduce((total, current) => total + current.step.accelerators, 0);
		expect(used + step.accelerators, `${this.agent} is over its capacity`).to.be.at.most(Math.max(this.reportedAccelerators, capacity));
		this.runs.set(task, {
			run,
			step,
			until: options.now + grantValidityMilliseconds,
			duration: options.duration,
			endsAt: step.isGang ? Infinity : options.now + options.duration,
			fails: options.fails,
			crashes: options.crashes,
		});
		this.observe({
			kind: 'started', task, worker: this, now: options.now,
		});
		return 'started';
	}

	/** Carries out the starts that are due, by whichever incarnation is up. The agent's clock reading of an earlier incarnation says nothing to a later one, which shortens the lease to its maximum. */
	carryOutLateStarts(now: number): void {
		const due = this.lateStarts.filter(({at}) => at <= now);
		this.lateStarts = this.lateStarts.filter(({at}) => at > now);
		for (const {task, run, step, options, incarnation} of due) {
			const until = incarnation === this.incarnation ? options.now + grantValidityMilliseconds : now + maximumLeaseMilliseconds;
			if (until <= now || this.start(task, run, step, {...options, now}) !== 'started') {
				continue;
			}

			const started = this.runs.get(task);
			if (started !== undefined) {
				started.until = Math.max(until, this.leaseUntil);
			}

			this.leaseUntil = Math.max(until, this.leaseUntil);
		}
	}

	end(task: TaskName, ending: EndedRun['ending']): void {
		const current = this.runs.get(task);
		if (current !== undefined) {
			this.runs.delete(task);
			this.highestRuns.set(task, current.run);
			this.ends.push({
				number: ++this.endCount, task, run: current.run, ending, checkpoint: '',
			});
			this.observe({
				kind: 'ended', task, worker: this, ending,
			});
		}
	}

	stop(task: TaskName, run: number, epoch: number): boolean {
		if (epoch < this.fencingEpoch) {
			return false;
		}

		this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
		if ((this.runs.get(task)?.run ?? Infinity) <= run) {
			this.end(task, 'stopped');
		}

		return true;
	}

	advance(now: number): void {
		this.carryOutLateStarts(now);
		if (now >= this.leaseUntil) {
			this.expireEnds();
		}

		if ([...this.runs.values()].some(({crashes}) => crashes)) {
			this.crash();
		}

		for (const [task, run] of this.runs) {
			if (now >= run.until) {
				this.end(task, 'lapsed');
			} else if (now >= run.endsAt) {
				this.end(task, run.fails ? 'failed' : 'done');
			}
		}
	}

	expireEnds(): void {
		for (const {number, task, ending} of this.ends) {
			if (number > this.expiredThrough) {
				this.observe({
					kind: 'end-expired', task, worker: this, ending,
				});
			}
		}

		this.expiredThrough = this.endCount;
	}

	crash(): void {
		for (const [task, {run}] of this.runs) {
			this.lost.push({task, run});
			this.observe({
				kind: 'ended', task, worker: this, ending: 'crashed',
			});
		}

		// Ends that were not acknowledged are lost with the worker.
		this.expireEnds();
		this.runs.clear();
		this.highestRuns.clear();
		this.ends = [];
		this.fencingEpoch = 0;
		this.endCount = 0;
		this.expiredThrough = 0;
		this.incarnation++;
	}
}

/** Simulates what an agent keeps of the starts that its worker has not answered. */
class SimulatedAgent {
	isFrozen = false;
	unanswered: ReadonlyArray<Readonly<{task: TaskName; run: number; sentAt: number}>> = [];
	/** The incarnation that confirmed the stops of unanswered starts, or that was there when the agent started. */
	reportedIncarnation: number | undefined;
	receivingSince = 0;

	recordStart(task: TaskName, run: number, now: number): void {
		this.unanswered = [...this.unanswered, {task, run, sentAt: now}];
	}

	forgetStart(task: TaskName, run: number): void {
		this.unanswered = this.unanswered.filter(start => start.task !== task || start.run !== run);
	}

	/** Reads the lists of the worker; a new incarnation first has to confirm the stops of unanswered starts. */
	observe(worker: SimulatedWorker, epoch: number, now: number): void {
		this.unanswered = this.unanswered.filter(({sentAt}) => now - sentAt < lateCallMilliseconds);
		if (this.reportedIncarnation !== worker.incarnation) {
			for (const {task, run} of this.unanswered) {
				worker.stop(task, run, epoch);
			}
		}

		this.reportedIncarnation = worker.incarnation;
		for (const [task, {run}] of worker.runs) {
			this.forgetStart(task, run);
		}

		for (const {task, run} of worker.listEnds().ended.filter(({ending}) => ending !== 'stopped')) {
			this.forgetStart(task, run);
		}
	}

	describe(now: number) {
		return {
			unansweredStarts: {
				knownForMilliseconds: now - this.receivingSince,
				starts: this.unanswered.map(({task, run, sentAt}) => ({task, run, remainingMilliseconds: sentAt + lateCallMilliseconds - now})),
			},
		};
	}

	/** Starts again, with nothing of before. */
	restart(now: number): void {
		this.isFrozen = false;
		this.unanswered = [];
		this.reportedIncarnation = undefined;
		this.receivingSince = now;
	}
}

/** What a job's tasks do on every worker. */
type Behaviour = 'works' | 'fails' | 'crashes';

type Action =
	| Readonly<{kind: 'submit'; count: number; accelerators: number; isGang: boolean; priority: number; duration: number; behaviour: Behaviour}>
	| Readonly<{kind: 'resize'; worker: number; accelerators: number}>
	/** An agent that is frozen does nothing; one that is disconnected still reaches its worker. */
	| Readonly<{kind: 'disconnect' | 'reconnect' | 'crash' | 'freeze-agent' | 'restart-agent'; worker: number}>
	| Readonly<{kind: 'take-over'}>
	/** While the store is away, the progress of jobs is not stored, and no end is acknowledged. */
	| Readonly<{kind: 'lose-store' | 'regain-store'}>
	| Readonly<{kind: 'cancel'; job: number}>
	| Readonly<{kind: 'lose-answers'; starts: number}>
	/** The next starts get no answer and are carried out after the delay. */
	| Readonly<{kind: 'delay-starts'; starts: number; delay: number}>
	| Readonly<{kind: 'wait'; duration: number}>;

const workerIndex = fastCheck.nat(2);
const submitArbitrary = fastCheck.record({
	kind: fastCheck.constant('submit' as const), count: fastCheck.integer({min: 1, max: 4}), accelerators: fastCheck.constantFrom(1, 2, 4, 8), isGang: fastCheck.boolean(),
	priority: fastCheck.nat(2), duration: fastCheck.integer({min: 300, max: 9000}), behaviour: fastCheck.constantFrom<Behaviour>('works', 'works', 'works', 'fails', 'crashes'),
});
const crashArbitrary = fastCheck.record({kind: fastCheck.constant('crash' as const), worker: workerIndex});
const agentFaultArbitrary = fastCheck.record({kind: fastCheck.constantFrom('disconnect' as const, 'reconnect' as const, 'freeze-agent' as const, 'restart-agent' as const), worker: workerIndex});
const takeOverArbitrary = fastCheck.constant({kind: 'take-over' as const});
const delayStartsArbitrary = fastCheck.record({kind: fastCheck.constant('delay-starts' as const), starts: fastCheck.integer({min: 1, max: 3}), delay: fastCheck.integer({min: 2000, max: 12_000})});
const waitArbitrary = fastCheck.record({kind: fastCheck.constant('wait' as const), duration: fastCheck.integer({min: 100, max: 4000})});
const actionArbitrary: fastCheck.Arbitrary<Action> = fastCheck.oneof(
	submitArbitrary,
	crashArbitrary,
	agentFaultArbitrary,
	fastCheck.record({kind: fastCheck.constant('resize' as const), worker: workerIndex, accelerators: fastCheck.constantFrom(0, 2, 4, 8)}),
	takeOverArbitrary,
	fastCheck.record({kind: fastCheck.constant('cancel' as const), job: fastCheck.nat(8)}),
	fastCheck.record({kind: fastCheck.constant('lose-answers' as const), starts: fastCheck.integer({min: 1, max: 3})}),
	delayStartsArbitrary,
	waitArbitrary,
);
/** The order that the fault needs, an unanswered start and two further incarnations, seldom comes up among all actions. */
const lateStartActionArbitrary: fastCheck.Arbitrary<Action> = fastCheck.oneof(
	{arbitrary: submitArbitrary, weight: 2},
	{arbitrary: delayStartsArbitrary, weight: 3},
	{arbitrary: crashArbitrary, weight: 4},
	{arbitrary: waitArbitrary, weight: 3},
	{arbitrary: agentFaultArbitrary, weight: 1},
	{arbitrary: takeOverArbitrary, weight: 1},
);

/** Many short tasks, of which the ends are listed late, since the store is away. */
const manyEndsActionArbitrary: fastCheck.Arbitrary<Action> = fastCheck.oneof(
	{
		arbitrary: fastCheck.record({
			kind: fastCheck.constant('submit' as const), count: fastCheck.integer({min: 2, max: 10}), accelerators: fastCheck.constantFrom(1, 2), isGang: fastCheck.boolean(),
			priority: fastCheck.nat(2), duration: fastCheck.integer({min: 300, max: 1500}), behaviour: fastCheck.constantFrom<Behaviour>('works', 'works', 'fails'),
		}), weight: 4,
	},
	{arbitrary: fastCheck.record({kind: fastCheck.constantFrom('lose-store' as const, 'lose-store' as const, 'regain-store' as const)}), weight: 3},
	{arbitrary: waitArbitrary, weight: 4},
	{arbitrary: takeOverArbitrary, weight: 1},
	{arbitrary: agentFaultArbitrary, weight: 1},
	{arbitrary: delayStartsArbitrary, weight: 1},
	{arbitrary: fastCheck.record({kind: fastCheck.constant('lose-answers' as const), starts: fastCheck.integer({min: 1, max: 3})}), weight: 1},
);

/** The platform counts three starts after the third crash. */
const maximumCrashingStarts = 5;

/** Simulates the scheduler with its store, agents and workers; stored progress survives a takeover. */
class Cluster {
	readonly running = new Map<TaskName, SimulatedWorker>();
	readonly done = new Set<TaskName>();
	readonly failures = new Map<TaskName, number>();
	/** Starts of tasks that crash their workers. */
	readonly crashingStarts = new Map<TaskName, number>();
	readonly workers: readonly SimulatedWorker[];
	readonly agents: ReadonlyMap<string, SimulatedAgent>;
	/** Jobs whose progress the store takes once it is back; undefined while it answers. */
	unstored: Set<ReturnType<typeof keyOf>> | undefined;
	time = 0;
	epoch = 0;
	jobs = 0;
	lostAnswers = 0;
	delayedStarts = {starts: 0, delay: 0};
	cancelled = new Set<number>();
	profiles = new Map<string, Readonly<{duration: number; fails: boolean; crashes: boolean}>>();
	submissions = new Map<string, ReturnType<typeof submissionOf>>();
	stored = new Map<string, ReturnType<typeof describeProgress>>();
	driver: Driver = createDriver();

	constructor(listedEnds: number) {
		this.workers = [0, 1, 2].map(index => new SimulatedWorker(`agent-${index}`, listedEnds, event => {
			this.check(event);
		}));
		this.agents = new Map(this.workers.map(({agent}) => [agent, new SimulatedAgent()]));
		this.takeOver();
	}

	check(event: WorkerEvent): void {
		const {kind, task, worker} = event;
		if (kind === 'started') {
			expect(this.running.get(task)?.agent, `${task} is already running`).to.equal(undefined);
			expect(this.done.has(task), `${task} is already done`).to.equal(false);
			expect(this.failures.get(task) ?? 0, `${task} has no attempts left`).to.be.below(3);
			this.running.set(task, worker);
			this.countCrashingStart(task);
			this.beginGang(task, event.now);
			return;
		}

		const {ending} = event;
		const isExpired = kind === 'end-expired';
		if (!isExpired) {
			this.running.delete(task);
		}

		if (ending === 'failed') {
			this.failures.set(task, (this.failures.get(task) ?? 0) + (isExpired ? -1 : 1));
		}

		if (ending === 'done' && isExpired) {
			this.done.delete(task);
		}

		if (ending === 'done' && !isExpired) {
			this.done.add(task);
		}
	}

	/** The members of a gang begin to work once all members of the run are there. */
	beginGang(task: TaskName, now: number): void {
		const started = this.running.get(task)?.runs.get(task);
		if (started?.step.isGang !== true) {
			return;
		}

		const members = [...this.running].flatMap(([name, worker]) => {
			const member = worker.runs.get(name);
			return name.startsWith(task.slice(0, 16)) && member?.run === started.run ? [member] : [];
		});
		if (members.length === started.step.count) {
			for (const member of members) {
				member.endsAt = now + member.duration;
			}
		}
	}

	/** Two starts may follow the third crash, however often the scheduler was replaced meanwhile. */
	countCrashingStart(task: TaskName): void {
		if (this.profiles.get(task.slice(0, 16))?.crashes === true) {
			const starts = (this.crashingStarts.get(task) ?? 0) + 1;
			this.crashingStarts.set(task, starts);
			expect(starts, `${task} has crashed enough workers`).to.be.at.most(maximumCrashingStarts);
		}
	}

	takeOver(): void {
		// What the earlier scheduler did not store is lost with it.
		this.unstored = this.unstored === undefined ? undefined : new Set();
		this.epoch++;
		// Runs may end while there is no scheduler.
		this.time += 250;
		for (const worker of this.workers) {
			worker.advance(this.time);
		}

		this.driver = createDriver({epoch: this.epoch, isStoring: false, start: this.time});
		this.send({kind: 'configured', configuration});
		// Agents report before the stored jobs are loaded.
		for (let turn = 0; turn < 2; turn++) {
			for (const worker of this.workers) {
				this.renew(worker);
			}
		}

		this.send({
			kind: 'loaded',
			jobs: [...this.submissions.values()].map(submission => ({
				submission, isCancelled: this.cancelled.has(Number.parseInt(submission.job, 16)), progress: this.stored.get(submission.job), keyVersion: 1,
			})),
			workers: this.workers.map(({agent}) => ({agent, worker: `w-${agent}` as WorkerId})),
		});
	}

	send(message: Parameters<Driver['send']>[0]): void {
		this.applyEffects(this.driver.send(message));
	}

	applyEffects(effects: readonly SchedulerEffect[]): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'start': {
					this.applyStart(effect);
					break;
				}

				case 'stop': {
					const target = this.findWorker(effect.agent, effect.incarnation);
					const confirmed = target === undefined ? [] : effect.orders.filter(({task, run}) => target.stop(task, run, this.epoch));
					this.send({
						kind: 'stop-answered', agent: effect.agent, incarnation: effect.incarnation, orders: confirmed,
					});
					break;
				}

				case 'store-progress': {
					this.store(effect.job);
					break;
				}

				case 'request-pass':
				case 'acknowledge':
				case 'remove-records':
				case 'log': {
					break;
				}
			}
		}
	}

	store(key: ReturnType<typeof keyOf>): void {
		const job = this.driver.state().jobs.get(key);
		if (this.unstored !== undefined) {
			this.unstored.add(key);
		} else if (job !== undefined) {
			const progress = describeProgress(job);
			this.stored.set(key, progress);
			for (const [name, task] of job.tasks) {
				if (task.isDone) {
					this.done.add(name);
				}
			}

			this.send({
				kind: 'stored', job: key, version: job.version, keyVersion: 1,
			});
		}
	}

	regainStore(): void {
		const keys = [...this.unstored ?? []];
		this.unstored = undefined;
		for (const key of keys) {
			this.store(key);
		}
	}

	applyStart({agent, incarnation, orders}: Extract<SchedulerEffect, {kind: 'start'}>): void {
		const target = this.findWorker(agent, incarnation);
		const answers = orders.map(({task, run}) => {
			const step = this.driver.state().jobs.get(task.slice(0, 16) as ReturnType<typeof keyOf>)?.submission.request.steps[0];
			const profile = this.profiles.get(task.slice(0, 16));
			if (target === undefined || step === undefined || profile === undefined) {
				return {task, run, result: 'unknown' as const};
			}

			const simulatedAgent = this.agentOf(target);
			simulatedAgent.recordStart(task, run, this.time);
			const options = {epoch: this.epoch, now: this.time, ...profile};
			if (this.delayedStarts.starts > 0) {
				const {starts, delay} = this.delayedStarts;
				this.delayedStarts = {starts: starts - 1, delay};
				target.lateStarts.push({
					task, run, step, options: {...options, capacity: target.reportedAccelerators}, incarnation: target.incarnation, at: this.time + delay,
				});
				return {task, run, result: 'unknown' as const};
			}

			const result = target.start(task, run, step, options);
			this.lostAnswers--;
			if (this.lostAnswers < 0) {
				simulatedAgent.forgetStart(task, run);
			}

			return {task, run, result: this.lostAnswers >= 0 ? 'unknown' as const : result};
		});
		this.send({kind: 'start-answered', agent, answers});
	}

	findWorker(agent: string, incarnation: string): SimulatedWorker | undefined {
		return this.workers.find(candidate => candidate.agent === agent && String(candidate.incarnation) === incarnation && !candidate.isDisconnected && !this.agentOf(candidate).isFrozen);
	}

	agentOf({agent}: SimulatedWorker): SimulatedAgent {
		const found = this.agents.get(agent);
		if (found === undefined) {
			throw new Error(`no agent ${agent}`);
		}

		return found;
	}

	/** Every 250 ms each connected agent renews, which also extends the leases of its worker. */
	elapse(duration: number): void {
		for (let remaining = duration; remaining > 0; remaining -= 250) {
			this.time += 250;
			for (const worker of this.workers) {
				worker.advance(this.time);
			}

			for (const worker of this.workers) {
				this.renew(worker);
			}

			this.applyEffects(this.driver.elapse(250));
		}
	}

	renew(worker: SimulatedWorker): void {
		const known = this.driver.state().workers.get(worker.agent);
		const simulatedAgent = this.agentOf(worker);
		if (!simulatedAgent.isFrozen) {
			simulatedAgent.observe(worker, worker.isDisconnected ? worker.fencingEpoch : this.epoch, this.time);
		}

		if (worker.isDisconnected || simulatedAgent.isFrozen) {
			if (known !== undefined) {
				this.send({kind: 'detached', agent: worker.agent});
			}

			return;
		}

		worker.fencingEpoch = Math.max(worker.fencingEpoch, this.epoch);
		worker.leaseUntil = this.time + grantValidityMilliseconds;
		for (const run of worker.runs.values()) {
			run.until = this.time + grantValidityMilliseconds;
		}

		if (known?.snapshot.incarnation === String(worker.incarnation)) {
			worker.ends = worker.ends.filter(({number}) => number > known.notedEnd);
		}

		worker.reportedAccelerators = worker.accelerators;
		this.send({
			kind: 'renewed',
			agent: worker.agent,
			snapshot: snapshotOf(worker.agent, {
				capacity: {processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators: worker.accelerators},
				incarnation: String(worker.incarnation),
				running: [...worker.runs].map(([task, {run, endsAt}]) => ({
					task, run, checkpoint: '', percent: Math.max(0, Math.min(99, 100 - ((endsAt - this.time) / 100))),
				})),
				...worker.listEnds(),
				lost: [...worker.lost],
				...simulatedAgent.describe(this.time),
			}),
		});
	}

	act(action: Action): void {
		switch (action.kind) {
			case 'submit': {
				const number = ++this.jobs;
				const submission = {
					...submissionOf(number, [{
						// The three workers can run at most three of the widest members at once.
						count: action.isGang ? Math.min(action.count, 3) : action.count, accelerators: action.accelerators, isGang: action.isGang, estimatedMilliseconds: action.duration,
					}], {priority: action.priority, submittedAt: this.time}), queue: queueOf(action.priority),
				};
				this.profiles.set(submission.job, {duration: action.duration, fails: action.behaviour === 'fails', crashes: action.behaviour === 'crashes'});
				this.submissions.set(submission.job, submission);
				this.send({kind: 'submitted', submission});
				break;
			}

			case 'disconnect': {
				this.pick(action.worker).isDisconnected = true;
				break;
			}

			case 'reconnect': {
				this.pick(action.worker).isDisconnected = false;
				this.agentOf(this.pick(action.worker)).isFrozen = false;
				break;
			}

			case 'freeze-agent': {
				this.agentOf(this.pick(action.worker)).isFrozen = true;
				break;
			}

			case 'restart-agent': {
				this.agentOf(this.pick(action.worker)).restart(this.time);
				break;
			}

			case 'crash': {
				this.pick(action.worker).crash();
				break;
			}

			case 'resize': {
				this.pick(action.worker).accelerators = action.accelerators;
				break;
			}

			case 'take-over': {
				this.takeOver();
				break;
			}

			case 'lose-store': {
				this.unstored ??= new Set();
				break;
			}

			case 'regain-store': {
				this.regainStore();
				break;
			}

			case 'cancel': {
				if (this.submissions.has(keyOf(action.job))) {
					this.cancelled.add(action.job);
					this.send({kind: 'cancelled', job: keyOf(action.job)});
				}

				break;
			}

			case 'lose-answers': {
				this.lostAnswers = action.starts;
				break;
			}

			case 'delay-starts': {
				this.delayedStarts = {starts: action.starts, delay: action.delay};
				break;
			}

			case 'wait': {
				this.elapse(action.duration);
			}
		}
	}

	pick(index: number): SimulatedWorker {
		const found = this.workers[index];
		if (found === undefined) {
			throw new Error(`no worker ${index}`);
		}

		return found;
	}
}

/** Whether a job has ended according to the store, since the scheduler removes old records from its state. */
function isOver({stored}: Cluster, number: number): boolean {
	const outcome = stored.get(keyOf(number))?.outcome;
	return outcome === 'completed' || outcome === 'failed' || outcome === 'cancelled';
}

/** Ends that a worker of the platform lists at a time. */
const usualListedEnds = 500;

function checkGuarantees(actions: readonly Action[], listedEnds = usualListedEnds): void {
	const cluster = new Cluster(listedEnds);
	for (const action of actions) {
		cluster.act(action);
		cluster.elapse(250);
	}

	for (const worker of cluster.workers) {
		worker.isDisconnected = false;
		worker.accelerators = 8;
		cluster.agentOf(worker).isFrozen = false;
	}

	cluster.regainStore();
	cluster.lostAnswers = 0;
	cluster.delayedStarts = {starts: 0, delay: 0};
	cluster.elapse(180_000);
	const open = Array.from({length: cluster.jobs}, (_, index) => index + 1).filter(number => !isOver(cluster, number));
	expect(open, 'jobs that did not end').to.deep.equal([]);
}

type Case = Readonly<{name: string; action: fastCheck.Arbitrary<Action>; seed: number; listedEnds?: number}>;

const cases: readonly Case[] = [
	{name: 'all failures', action: actionArbitrary, seed: 20_261_204},
	{name: 'starts that later incarnations carry out', action: lateStartActionArbitrary, seed: 32},
	{
		name: 'workers that list two ends at a time', action: manyEndsActionArbitrary, seed: 7, listedEnds: 2,
	},
];

describe('scheduler guarantees under random failures', function () {
	this.timeout(120_000);

	for (const {
		name, action, seed, listedEnds,
	} of cases) {
		it(`no task runs twice at once, again once done, beyond its attempts or crashes worker after worker; no worker is over its capacity; every job ends after the failures stop (${name})`, () => {
			fastCheck.assert(fastCheck.property(fastCheck.array(action, {minLength: 5, maxLength: 30}), actions => {
				checkGuarantees(actions, listedEnds);
			}), {numRuns: 150, seed});
		});
	}

	it('a late start that its agent does not know of keeps to the capacity of the worker (worker over its capacity)', () => {
		checkGuarantees([
			{kind: 'delay-starts', starts: 1, delay: 2000},
			{
				kind: 'submit', count: 3, accelerators: 8, isGang: false, priority: 0, duration: 751, behaviour: 'works',
			},
			{kind: 'delay-starts', starts: 1, delay: 2000},
			{kind: 'crash', worker: 0},
			{
				kind: 'submit', count: 2, accelerators: 1, isGang: false, priority: 0, duration: 300, behaviour: 'crashes',
			},
			{kind: 'restart-agent', worker: 0},
			{kind: 'crash', worker: 0},
		]);
	});
});
