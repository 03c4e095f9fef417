/** Explains where a job would go now. */
import type {CurrentTime, Milliseconds, WorkerId} from '#core';
import type {JobKey, JobSubmission, TaskName} from '#jobs';
import {createJob} from './occurrences.js';
import {countByAgent} from './place.js';
import {listPassedOver, type PassedOver} from './passed-over.js';
import {
	beginPass, findPlacements, scheduleUnit, type BegunPass, type Pass,
} from './schedule.js';
import {withJob} from './state.js';
import type {AgentName, SchedulerState} from './types.js';
import type {SchedulingUnit} from './units.js';
import {explainWait, type WaitReason} from './wait-logs.js';

/** What would happen to the tasks of a step that do not start at once. */
export type StepWait =
	| Readonly<{kind: 'none'}>
	| Readonly<{kind: 'waits'; tasks: number; reason: WaitReason}>
	/** Runs of lower ranks would be stopped for them. */
	| Readonly<{kind: 'stops-runs'; tasks: number; runs: number; examples: readonly TaskName[]}>;

/** What would happen to a step that may start now. */
export type StepExplanation = Readonly<{
	occurrence: number;
	step: number;
	tasks: number;
	rank: number;
	/** Number of tasks that start. */
	starting: number;
	/** Number of tasks on the first of the workers where they start. */
	starts: ReadonlyArray<Readonly<{worker: WorkerId; tasks: number}>>;
	wait: StepWait;
	passedOver: readonly PassedOver[];
}>;

/** How old the facts are on which an explanation rests; an age is absent without a worker. */
export type SnapshotAge = Readonly<{
	configurationVersion: number;
	zonesRevision: number;
	workers: number;
	oldestReportMilliseconds?: Milliseconds;
	newestReportMilliseconds?: Milliseconds;
}>;

/** Steps that are explained, in the order of placement; a job has at most 100, of several occurrences. */
const maximumExplainedSteps = 20;
/** Tasks of stopped runs and workers with starts that are named. */
const maximumListed = 20;

/** `listed` holds the first of the steps that may start now; `steps` counts them. */
export type PlacementExplanation = Readonly<{steps: number; listed: readonly StepExplanation[]; snapshot: SnapshotAge}>;

/** Finds an identifier that no job has, so that the explained job replaces none. */
export function findFreeKey({jobs}: SchedulerState): JobKey {
	let number = 0;
	while (jobs.has(formatKey(number))) {
		number++;
	}

	return formatKey(number);
}

function formatKey(number: number): JobKey {
	return number.toString(16).padStart(16, '0') as JobKey;
}

/**
Carries out one scheduling pass on a copy of the state to which the job was added, and tells what it decides about the job. The given state stays as it is.

@example
```
const {listed} = explainPlacement(state, submission, {now, monotonic});
```
*/
export function explainPlacement(state: SchedulerState, submission: JobSubmission, time: CurrentTime): PlacementExplanation {
	const job = createJob(submission, {progress: undefined, keyVersion: 0}, {monotonic: time.monotonic, isInherited: false});
	const begun = beginPass(withJob(state, job), time);
	const explained = begun.kind === 'begun' ? explainUnits(begun, submission, time) : [];
	return {steps: explained.length, listed: explained.slice(0, maximumExplainedSteps), snapshot: measureAge(state, time)};
}

function explainUnits({pass: first, units, pool}: BegunPass, {job}: JobSubmission, {monotonic}: CurrentTime): readonly StepExplanation[] {
	let pass = first;
	let left = units.filter(unit => unit.job.submission.job === job).length;
	const explained: StepExplanation[] = [];
	for (const unit of units) {
		// What follows the last step of the job has no effect on it.
		if (left === 0) {
			break;
		}

		const next = scheduleUnit(pass, unit, monotonic);
		if (unit.job.submission.job === job) {
			left--;
			explained.push(explainUnit(unit, {
				before: pass, after: next, pool, monotonic,
			}));
		}

		pass = next;
	}

	return explained;
}

type UnitDecision = Readonly<{before: Pass; after: Pass; pool: BegunPass['pool']; monotonic: number}>;

function explainUnit(unit: SchedulingUnit, {before, after, pool, monotonic}: UnitDecision): StepExplanation {
	const chosen = countByAgent(findPlacements(before, unit, undefined, monotonic));
	const started = [...chosen.values()].reduce((total, count) => total + count, 0);
	return {
		occurrence: unit.occurrence,
		step: unit.stepIndex,
		tasks: unit.tasks.length,
		rank: unit.rank,
		starting: started,
		starts: [...chosen].flatMap(([agent, tasks]) => {
			const worker = findWorker(before, agent);
			return worker === undefined ? [] : [{worker, tasks}];
		}).slice(0, maximumListed),
		wait: explainRest(unit, unit.tasks.length - started, {
			before, after, pool, monotonic,
		}),
		passedOver: listPassedOver({
			unit, pool: before.pool, initialPool: pool, chosen, monotonic,
		}),
	};
}

function findWorker({pool}: Pass, agent: AgentName): WorkerId | undefined {
	return pool.get(agent)?.worker.snapshot.worker;
}

function explainRest(unit: SchedulingUnit, tasks: number, {before, after, monotonic}: UnitDecision): StepWait {
	if (tasks === 0) {
		return {kind: 'none'};
	}

	const stopped = after.effects.slice(before.effects.length).flatMap(effect => effect.kind === 'stop' ? effect.orders.map(({task}) => task) : []);
	return stopped.length > 0
		? {
			kind: 'stops-runs', tasks, runs: stopped.length, examples: stopped.slice(0, maximumListed),
		}
		: {kind: 'waits', tasks, reason: explainWait(unit, before.pool, monotonic)};
}

function measureAge({configuration, closedZones, workers}: SchedulerState, {monotonic}: CurrentTime): SnapshotAge {
	const ages = [...workers.values()].map(({grantedAt}) => monotonic - grantedAt);
	return {
		configurationVersion: configuration?.version ?? 0,
		zonesRevision: closedZones.revision,
		workers: ages.length,
		...(ages.length === 0 ? {} : {oldestReportMilliseconds: ages.reduce((oldest, age) => Math.max(oldest, age)), newestReportMilliseconds: ages.reduce((newest, age) => Math.min(newest, age))}),
	};
}
