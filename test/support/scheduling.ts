/** Builders of jobs and worker snapshots, and a driver that runs the scheduler in virtual time. */
import type {WorkerId} from '#core';
import {
	formatTaskName, type EndedRun, type JobKey, type JobStep, type JobSubmission, type Queue, type QueueName, type ReportedRun, type SchedulingConfiguration, type ServiceName, type TaskName,
	type TenantName, type WorkerSnapshot,
} from '#jobs';
import type {PaceState} from '#pace';
import {
	createSchedulerState, defaultPolicy, receiveSchedulerMessage, type KeepApart, type SchedulerEffect, type SchedulerMessage, type SchedulerState,
} from '#scheduling';

export const service = 'svc' as ServiceName;
export const tenant = 'tenant' as TenantName;

export function queueOf(priority: number, maximumAttempts = 3): Queue {
	return {
		name: `queue-${priority}` as QueueName, host: 'h', pathPrefix: `/${priority}/`, service, priority, maximumAttempts, stretch: 2, targetMilliseconds: 1000, isPublic: false,
	};
}

export const configuration: SchedulingConfiguration = {
	version: 1,
	queues: [queueOf(0), queueOf(1), queueOf(2)],
	tenants: [{name: tenant, apiKeys: ['key'], guaranteedAccelerators: 8}],
};

export const oneStep: JobStep = {
	count: 1, processorMillicores: 1000, memoryMegabytes: 100, accelerators: 1, estimatedMilliseconds: 5000, after: [], isCheckpointing: false, isGang: false, prefersOneRack: false,
	maximumPerWorker: 0, isLongRunning: false, isFilling: false, maximumUnavailable: 0,
};

export function keyOf(number: number): JobKey {
	return number.toString(16).padStart(16, '0') as JobKey;
}

export function submissionOf(number: number, steps: ReadonlyArray<Partial<JobStep>>, options: Readonly<{priority?: number; submittedAt?: number; maximumAttempts?: number}> = {}): JobSubmission {
	return {
		job: keyOf(number),
		queue: queueOf(options.priority ?? 2, options.maximumAttempts),
		tenant,
		submittedAt: options.submittedAt ?? 0,
		request: {specification: 'text', steps: steps.map(step => ({...oneStep, ...step}))},
	};
}

export function taskOf(job: number, index = 0, step = 0): TaskName {
	return formatTaskName({
		job: keyOf(job), occurrence: 0, step, index,
	});
}

export type WorkerOptions = Partial<WorkerSnapshot> & Readonly<{running?: readonly ReportedRun[]; ended?: readonly EndedRun[]}>;

export function snapshotOf(name: string, options: WorkerOptions = {}): WorkerSnapshot {
	return {
		worker: `w-${name}` as WorkerId, incarnation: '1', service, zone: 'z', labels: ['a', 'r-1'], rack: 'r-1', capacity: {processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators: 8},
		state: 'ready', isResponsive: true, isLeaseOver: false, running: [], ended: [], lost: [],
		unansweredStarts: {knownForMilliseconds: 60_000, starts: []}, ...options,
	};
}

export function reportedRunOf(task: TaskName, run: number, percent = 10, checkpoint = ''): ReportedRun {
	return {
		task, run, checkpoint, percent,
	};
}

export function endedRunOf(number: number, task: TaskName, run: number, ending: EndedRun['ending']): EndedRun {
	return {
		number, task, run, ending, checkpoint: '',
	};
}

export type Driver = Readonly<{
	state(): SchedulerState;
	/** Sends a message and returns its effects, including those of the stored progress that follows. */
	send(message: SchedulerMessage): readonly SchedulerEffect[];
	elapse(duration: number): readonly SchedulerEffect[];
	time(): number;
}>;

/** Creates a driver; by default progress counts as stored immediately. */
export function createDriver(options: Readonly<{epoch?: number; isStoring?: boolean; start?: number; keepApart?: KeepApart; beliefs?: PaceState}> = {}): Driver {
	const initial = createSchedulerState(options.epoch ?? 1, {...defaultPolicy, keepApart: options.keepApart ?? defaultPolicy.keepApart});
	let state: SchedulerState = {...initial, pace: {...initial.pace, beliefs: options.beliefs ?? initial.pace.beliefs}};
	let time = options.start ?? 0;
	let keyVersion = 1;
	const send = (message: SchedulerMessage): readonly SchedulerEffect[] => {
		const step = receiveSchedulerMessage(state, message, {now: time, monotonic: time});
		state = step.state;
		const stored = step.effects.flatMap(effect => {
			const job = effect.kind === 'store-progress' && options.isStoring !== false ? state.jobs.get(effect.job) : undefined;
			return job === undefined
				? []
				: send({
					kind: 'stored', job: job.submission.job, version: job.version, keyVersion: keyVersion++,
				});
		});
		const passed = step.effects.some(({kind}) => kind === 'request-pass') ? send({kind: 'pass'}) : [];
		return [...step.effects, ...stored, ...passed];
	};

	return {
		state: () => state,
		send,
		elapse(duration) {
			const effects: SchedulerEffect[] = [];
			for (let remaining = duration; remaining > 0; remaining -= tickMilliseconds) {
				time += Math.min(tickMilliseconds, remaining);
				effects.push(...send({kind: 'tick'}));
			}

			return effects;
		},
		time: () => time,
	};
}

/** Creates a driver whose scheduler has loaded an empty store and received the given workers. */
export function createReadyDriver(workers: ReadonlyArray<readonly [string, WorkerOptions?]>, options: Parameters<typeof createDriver>[0] = {}): Driver {
	const driver = createDriver(options);
	driver.send({kind: 'configured', configuration});
	driver.send({kind: 'loaded', jobs: [], workers: []});
	for (const [name, worker] of workers) {
		driver.send({kind: 'renewed', agent: name, snapshot: snapshotOf(name, worker)});
	}

	return driver;
}

const tickMilliseconds = 250;

export function startsOf(effects: readonly SchedulerEffect[]): ReadonlyArray<Readonly<{agent: string; task: TaskName; run: number; checkpoint: string}>> {
	return effects.flatMap(effect => effect.kind === 'start' ? effect.orders.map(order => ({agent: effect.agent, ...order})) : []);
}

export function stopsOf(effects: readonly SchedulerEffect[]): readonly TaskName[] {
	return effects.flatMap(effect => effect.kind === 'stop' ? effect.orders.map(({task}) => task) : []);
}
