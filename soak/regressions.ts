import type {PlanScope, SoakSize} from './types.js';

/** A plan that once violated an invariant. The size and the scope are part of it, since they change the plan. */
export type RegressionSeed = Readonly<{seed: number; size: SoakSize; scope: PlanScope; cause: string}>;

export const regressionSeeds: readonly RegressionSeed[] = [
	{
		seed: 235, size: {entries: 3, workers: 5, seconds: 20}, scope: 'programs', cause: 'the soak ended 115 ms after a late acceptance, before the job could run',
	},
	{
		seed: 223, size: {entries: 3, workers: 5, seconds: 20}, scope: 'programs', cause: 'the soak queried the configuration of an entry 0.8 s after it was killed',
	},
	{
		seed: 240, size: {entries: 3, workers: 5, seconds: 20}, scope: 'programs', cause: 'the soak queried the configuration of an entry while it restarted after a planned stop',
	},
	{
		seed: 1005, size: {entries: 3, workers: 5, seconds: 20}, scope: 'programs-and-workers', cause: 'the runs of a worker whose departure was not confirmed started elsewhere while they went on',
	},
	{
		seed: 1013, size: {entries: 3, workers: 5, seconds: 20}, scope: 'programs-and-workers', cause: 'an agent that was paused handled the departure of a worker that had got starts since',
	},
	{
		seed: 1017, size: {entries: 3, workers: 5, seconds: 20}, scope: 'programs-and-workers', cause: 'the next incarnation of a worker carried out a late start of a task that was done elsewhere',
	},
	{
		seed: 1011, size: {entries: 3, workers: 5, seconds: 20}, scope: 'programs-and-workers', cause: 'a delayed departure released the runs of the worker\'s next incarnation',
	},
	{
		seed: 320_211,
		size: {entries: 3, workers: 5, seconds: 20},
		scope: 'programs-and-workers',
		cause: 'a worker that left after it had confirmed a stop came back under its identifier and carried the late start out',
	},
];
