/** The load of a scheduler, the forecast that is built from it, and what follows from the forecast for one job. */
import * as valibot from 'valibot';
import type {Milliseconds, MonotonicTime} from '#core';
import {
	serviceNameSchema, type JobSubmission, type Resources, type ServiceName,
} from '#jobs';

/** An amount of work, by the callers' estimates. A core millisecond is processor time of one whole core. */
export type Work = Readonly<{acceleratorMilliseconds: number; coreMilliseconds: number}>;

/**
How a job's waiting work is ordered within its rank.

- `on-time`: before all others.
- `late`: it can no longer earn its full value, and goes after work that can.
- `long`: it takes much longer than others, and goes after work of the usual length.
*/
export type Urgency = 'on-time' | 'late' | 'long';

/** Work of one step that waits for workers. */
export type WaitingWork = Readonly<{
	service: ServiceName;
	rank: number;
	/** Empty for jobs without a tenant. */
	team: string;
	urgency: Urgency;
	work: Work;
	/** Room of one task. */
	task: Resources;
	/** Room that has to be free at the same time: that of a task, or of a whole gang. */
	unit: Resources;
	/** Whether it waits for room alone, and not for a label, a rack or its first pass. */
	isBlocked: boolean;
}>;

/** A run, whose room is free again after the remaining time; infinite for work that does not end by itself. */
export type RunningWork = Readonly<{service: ServiceName; rank: number; room: Resources; remaining: Milliseconds}>;

export type WorkerRoom = Readonly<{
	service: ServiceName;
	capacity: Resources;
	free: Resources;
	/** Whether new work may start there now. */
	isUsable: boolean;
	/** Whether it is expected to take work again; false for a worker that is about to leave. */
	isStaying: boolean;
}>;

/** Accelerators that are guaranteed to a team, and how many of them its jobs take. */
export type TeamGuarantee = Readonly<{team: string; accelerators: number; used: number}>;

/** What a scheduler has to do and the room that it has for it, independent of the scheduler's state. */
export type LoadSnapshot = Readonly<{
	waiting: readonly WaitingWork[];
	running: readonly RunningWork[];
	workers: readonly WorkerRoom[];
	/** All teams of the configuration. */
	teams: readonly TeamGuarantee[];
}>;

/** Waiting work of one rank whose tasks, or whole gangs, need about as many accelerators. */
export type SizeForecast = Readonly<{
	/** Upper bound of the accelerators that have to be free at the same time: 0 or a power of 2. */
	accelerators: number;
	/** Work that goes before a new job of the rank. */
	onTime: Work;
	/** Work that goes before a job of the rank once that is late itself. */
	late: Work;
}>;

export type RankForecast = Readonly<{
	rank: number;
	sizes: readonly SizeForecast[];
	/** Room of the runs that end by themselves. */
	running: Resources;
	/** The smallest room that blocked work of the rank waits for: free room does not start a job that needs as much. */
	narrowest?: Resources;
}>;

/** Room that the runs free which end by then, all earlier ones included. */
export type Release = Readonly<{withinMilliseconds: Milliseconds; room: Resources}>;

export type TeamForecast = Readonly<{
	team: string;
	backlog: Work;
	/** Guaranteed accelerators that the team's jobs do not take. */
	guaranteedLeft: number;
}>;

/** Forecast for the workers of one service. */
export type PoolForecast = Readonly<{
	service: ServiceName;
	/** Number of workers that are not about to leave. */
	workers: number;
	/** Maximum of each resource over these workers. */
	largestWorker: Resources;
	/** Capacity of these workers, whether they take work now or not. */
	capacity: Resources;
	/** Capacity of the workers that take work now, without the room of work that does not end by itself. */
	usable: Resources;
	/** Free room of the workers that take work now. */
	free: Resources;
	/** Room of work that does not end by itself. */
	lasting: Resources;
	/** By ascending rank. */
	ranks: readonly RankForecast[];
	/** By ascending time. */
	releases: readonly Release[];
	/** Waiting work of all teams. */
	backlog: Work;
	/** Number of teams among which the backlog is divided. */
	teamCount: number;
	teams: readonly TeamForecast[];
}>;

export type Forecast = Readonly<{
	/** When the load was described, by the clock of this process. */
	at: MonotonicTime;
	pools: readonly PoolForecast[];
}>;

/** Accelerators and cores, in milliseconds. */
const sharedWorkSchema = valibot.pipe(valibot.tuple([valibot.number(), valibot.number()]), valibot.readonly());
export type SharedWork = valibot.InferOutput<typeof sharedWorkSchema>;
/** Thousandths of a core, megabytes and accelerators. */
const sharedRoomSchema = valibot.pipe(valibot.tuple([valibot.number(), valibot.number(), valibot.number()]), valibot.readonly());
/** Accelerators, work on time and late work. */
const sharedSizeSchema = valibot.pipe(valibot.tuple([valibot.number(), sharedWorkSchema, sharedWorkSchema]), valibot.readonly());
/** Rank, sizes, running room and the narrowest blocked room, if any. */
const sharedRankSchema = valibot.pipe(valibot.tuple([valibot.number(), valibot.pipe(valibot.array(sharedSizeSchema), valibot.readonly()), sharedRoomSchema, valibot.nullable(sharedRoomSchema)]), valibot.readonly());
const sharedReleaseSchema = valibot.pipe(valibot.tuple([valibot.number(), sharedRoomSchema]), valibot.readonly());
/** Name, backlog and what is left of the guarantee. */
const sharedTeamSchema = valibot.pipe(valibot.tuple([valibot.string(), sharedWorkSchema, valibot.number()]), valibot.readonly());
export type SharedRoom = valibot.InferOutput<typeof sharedRoomSchema>;

const sharedPoolSchema = valibot.pipe(valibot.object({
	service: serviceNameSchema,
	workers: valibot.number(),
	largestWorker: sharedRoomSchema,
	capacity: sharedRoomSchema,
	usable: sharedRoomSchema,
	free: sharedRoomSchema,
	lasting: sharedRoomSchema,
	ranks: valibot.pipe(valibot.array(sharedRankSchema), valibot.readonly()),
	releases: valibot.pipe(valibot.array(sharedReleaseSchema), valibot.readonly()),
	backlog: sharedWorkSchema,
	teamCount: valibot.number(),
	teams: valibot.pipe(valibot.array(sharedTeamSchema), valibot.readonly()),
}), valibot.readonly());
export type SharedPool = valibot.InferOutput<typeof sharedPoolSchema>;

/** A forecast as entries report it to each other, whose clocks differ. */
export const sharedForecastSchema = valibot.pipe(valibot.object({ageMilliseconds: valibot.number(), pools: valibot.pipe(valibot.array(sharedPoolSchema), valibot.readonly())}), valibot.readonly());
export type SharedForecast = valibot.InferOutput<typeof sharedForecastSchema>;

export type ForecastJob = Pick<JobSubmission, 'job' | 'queue' | 'tenant' | 'request'>;

/** Time from now until the first task starts and the last one ends. */
export type Timing = Readonly<{start: Milliseconds; end: Milliseconds}>;

/**
- `no-workers`: no worker of the service is known.
- `larger-than-pool`: no worker, or not all of them together, could hold a task or gang of it.
- `beside-lasting-work`: it would fit if work that does not end by itself were not there.
*/
export type UnknownReason = 'no-workers' | 'larger-than-pool' | 'beside-lasting-work';

export type JobEstimate =
	| Readonly<{kind: 'unknown'; reason: UnknownReason}>
	| Readonly<{
		kind: 'estimated';
		/** Earliest that is plausible, although the callers' estimates may be twice the actual durations. */
		optimistic: Timing;
		usual: Timing;
		/** When the optimistic estimate allows the job to earn something; 0 if it does now. */
		worthwhileIn: Milliseconds;
	}>;

export type ForecastDecision =
	/** The job is expected to be on time, or nothing is known against it. */
	| Readonly<{kind: 'accept'; reason: 'on-time' | 'no-forecast' | 'scheduled' | 'long-running'}>
	/** The job is accepted, and expected to be late. */
	| Readonly<{kind: 'wait'; reason: UnknownReason | 'late' | 'within-guarantee' | 'within-equal-share'; estimate: JobEstimate}>
	| Readonly<{kind: 'refuse'; reason: 'no-capacity-in-time'; retryAfterMilliseconds: Milliseconds; estimate: JobEstimate}>;
