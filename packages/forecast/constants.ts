/** A forecast older than this counts as none. Entries exchange it every 0.7 s, so that three exchanges may fail. */
export const forecastValidityMilliseconds = 3000;
/** Share of the estimated duration that work takes at least: callers' estimates are off by up to a factor of 2, and the fastest workers take 0.8 of the usual time. */
export const optimisticDurationShare = 0.4;
/** A job that ends later than this multiple of its objective earns nothing. */
export const worthlessObjectives = 3;
/** Shortest time after which a refused caller is asked to return: the time in which a report of the scheduler reaches every entry. */
export const minimumRetryMilliseconds = 1000;
/** Times by which the ends of runs are summed up, so that a forecast has the same size however many runs there are. */
export const releaseMilliseconds = [250, 500, 1000, 2000, 4000, 8000, 16_000, 32_000, 64_000, 128_000] as const;
/** Lowest rank that may preempt other work. */
export const lowestPreemptingRank = 2;
/** Pools in one report; a deployment has one or two services. */
export const maximumSharedPools = 4;
/** Ranks of one pool in a report, the highest ones. Lower ranks do not delay them. */
export const maximumSharedRanks = 8;
/** Teams in one report over all pools, those with the largest backlog. A team that is left out is not refused. */
export const maximumSharedTeams = 50;
/** Estimates that are remembered until their jobs start; about 100 KB. */
export const maximumTrackedEstimates = 500;
