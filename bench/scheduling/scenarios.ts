/** Jobs of the large deployment's kinds, at its rates, in seeded order. */
import {createRandomSource, type RandomSource} from '#core';
import type {
	JobKey, JobStep, JobSubmission, Queue, QueueName, SchedulingConfiguration, ServiceName, TenantName,
} from '#jobs';

/** Size of the deployment's workers and racks. */
export const coresPerWorker = 128;
export const acceleratorsPerWorker = 8;
export const workersPerRack = 12;

export const service = 'pool' as ServiceName;
const tenantCount = 24;
/** Share of the accelerators that is guaranteed to tenants. */
const guaranteedShare = 0.62;

export type Kind = 'roster' | 'curve' | 'layout';

type KindOfJob = Readonly<{
	kind: Kind; priority: number; perSecond: number; width: number; milliseconds: number; cores: number; memoryMegabytes: number; accelerators: readonly number[];
	isGang: boolean; rackShare: number; checkpointShare: number; stretch: number; targetMilliseconds: number; worth: number; lateWorth: number;
}>;

/** Rates, widths and durations as the deployment's page and site file state them for its full size. */
const kinds: readonly KindOfJob[] = [
	{
		kind: 'roster', priority: 0, perSecond: 2.5, width: 5, milliseconds: 3000, cores: 15, memoryMegabytes: 79_000, accelerators: [1, 2, 4, 8, 8],
		isGang: true, rackShare: 0.8, checkpointShare: 0, stretch: 1.5, targetMilliseconds: 600, worth: 4, lateWorth: 0.8,
	},
	{
		kind: 'curve', priority: 1, perSecond: 0.78, width: 13, milliseconds: 8300, cores: 52, memoryMegabytes: 150_000, accelerators: [1, 2, 4, 8, 8],
		isGang: true, rackShare: 0.6, checkpointShare: 0.45, stretch: 3, targetMilliseconds: 1500, worth: 3, lateWorth: 0.9,
	},
	{
		kind: 'layout', priority: 2, perSecond: 0.49, width: 38, milliseconds: 11_600, cores: 11, memoryMegabytes: 33_000, accelerators: [1],
		isGang: false, rackShare: 0, checkpointShare: 0.45, stretch: 3, targetMilliseconds: 3000, worth: 1, lateWorth: 0.3,
	},
];

/** One job in 33 takes seven times as long as its kind. */
const stragglerShare = 0.03;
const stragglerFactor = 7;

export type ArrivingJob = Readonly<{
	kind: Kind; at: number; submission: JobSubmission; duration: number; onTimeMilliseconds: number;
	/** What callers pay for the job on time, and up to three times that time. */
	worth: number; lateWorth: number;
}>;

/** How uneven the workers and tasks are. */
export type Unevenness = Readonly<{
	/** Speeds of workers, drawn with equal probability. */
	speeds: readonly number[];
	/** Share of the workers that turn slow for some seconds, once each at a random time. */
	slowShare: number;
	/** Images of each kind of job, drawn with equal probability. */
	imagesPerKind: number;
	/** Pairs of images, such as `layout-0` and `curve-1`, of which the first progresses by `factor` beside the second. */
	interference: ReadonlyArray<Readonly<{image: string; neighbour: string; factor: number}>>;
	/** Accelerators of each single task. Tasks of four spread over many workers. */
	acceleratorsOfLayouts: number;
	/** Durations within a step differ at random by up to this share. */
	durationSpread: number;
}>;

export type Scenario = Readonly<{workers: number; configuration: SchedulingConfiguration; arrivals: readonly ArrivingJob[]; length: number; unevenness?: Unevenness | undefined}>;

function queueOf({kind, priority, stretch, targetMilliseconds}: KindOfJob): Queue {
	return {
		name: kind as unknown as QueueName, host: 'host', pathPrefix: `/${kind}/`, service, priority, maximumAttempts: 3, stretch, targetMilliseconds, isPublic: false,
	};
}

export type ScenarioOptions = Readonly<{
	workers: number; rate?: number; factor: number; length: number; seed: number;
	/** Further jobs of one team during the crest, as a multiple of the usual rate of all teams. */
	surgeRate?: number;
	unevenness?: Unevenness;
}>;

/** The team whose surge is played. */
export const surgingTenant = 'tenant-0' as TenantName;

/**
Creates jobs for `workers` workers over `length` milliseconds; `rate` multiplies the usual rates, `factor` those from a sixth to the half of that time.

@example
```
createScenario({workers: 160, factor: 2, length: 30_000, seed: 7});
```
*/
export function createScenario({workers, rate = 1, factor, length, seed, surgeRate = 0, unevenness}: ScenarioOptions): Scenario {
	const random = createRandomSource(seed);
	// Images are drawn from a generator of their own, so that the jobs are those of the even scenario.
	const randomImage = createRandomSource(seed + 1);
	const withImage = (job: ArrivingJob): ArrivingJob => unevenness === undefined ? job : changeStep(job, {image: `${job.kind}-${Math.floor(randomImage() * unevenness.imagesPerKind)}`, ...(job.kind === 'layout' ? {accelerators: unevenness.acceleratorsOfLayouts} : {})});
	const arrivals: ArrivingJob[] = [];
	let count = 0;
	for (const kind of kinds) {
		for (let at = 0; at < length;) {
			const isCrest = at > length / 6 && at < length / 2;
			const perMillisecond = kind.perSecond * (workers / 160) * rate * (isCrest ? factor : 1) / 1000;
			at += -Math.log(1 - random()) / perMillisecond;
			if (at < length) {
				arrivals.push(withImage(createJob(kind, at, ++count, random)));
			}
		}
	}

	const surgeRandom = createRandomSource(seed + 1);
	for (const kind of surgeRate > 0 ? kinds : []) {
		for (let at = length / 6; at < length / 2;) {
			at += -Math.log(1 - surgeRandom()) * 1000 / (kind.perSecond * (workers / 160) * surgeRate);
			const {submission, ...job} = createJob(kind, at, ++count, surgeRandom);
			arrivals.push({...job, submission: {...submission, tenant: surgingTenant}});
		}
	}

	const guaranteedAccelerators = Math.floor(workers * acceleratorsPerWorker * guaranteedShare / tenantCount);
	const tenants = Array.from({length: tenantCount}, (_, index) => ({name: `tenant-${index}` as TenantName, apiKeys: [], guaranteedAccelerators}));
	return {
		workers, length, configuration: {version: 1, queues: kinds.map(kind => queueOf(kind)), tenants}, arrivals: arrivals.toSorted((first, second) => first.at - second.at), unevenness,
	};
}

function changeStep(job: ArrivingJob, changes: Partial<JobStep>): ArrivingJob {
	const {request} = job.submission;
	return {...job, submission: {...job.submission, request: {...request, steps: request.steps.map(step => ({...step, ...changes}))}}};
}

function countTasksInRack(cores: number, accelerators: number): number {
	return workersPerRack * Math.min(Math.floor(coresPerWorker / cores), Math.floor(acceleratorsPerWorker / accelerators));
}

function createJob(kind: KindOfJob, at: number, number: number, random: RandomSource): ArrivingJob {
	const duration = kind.milliseconds * (0.7 + (0.6 * random())) * (random() < stragglerShare ? stragglerFactor : 1);
	const count = Math.max(1, Math.round(kind.width * (0.3 + (1.4 * random()))));
	const accelerators = kind.accelerators[Math.floor(random() * kind.accelerators.length)] ?? 1;
	const isOneRackEnough = count <= countTasksInRack(kind.cores, accelerators);
	const step: JobStep = {
		count,
		processorMillicores: kind.cores * 1000,
		memoryMegabytes: kind.memoryMegabytes,
		accelerators,
		estimatedMilliseconds: kind.milliseconds * (0.6 + (0.8 * random())),
		after: [],
		isCheckpointing: random() < kind.checkpointShare,
		isGang: kind.isGang,
		prefersOneRack: random() < kind.rackShare && isOneRackEnough,
		maximumPerWorker: 0,
		isLongRunning: false,
		isFilling: false,
		maximumUnavailable: 0,
	};
	// Callers pay by the work of a job compared with others of its kind, within these limits.
	const weight = Math.min(4, 0.3 + (0.7 * step.count * duration / (kind.width * kind.milliseconds)));
	return {
		kind: kind.kind,
		at,
		duration,
		onTimeMilliseconds: (kind.stretch * duration) + kind.targetMilliseconds,
		worth: kind.worth * weight,
		lateWorth: kind.lateWorth * weight,
		submission: {
			job: number.toString(16).padStart(16, '0') as JobKey,
			queue: queueOf(kind),
			tenant: `tenant-${Math.floor(random() * tenantCount)}` as TenantName,
			submittedAt: at,
			request: {specification: 'text', steps: [step]},
		},
	};
}
