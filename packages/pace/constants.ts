/** Progress that a window needs: percentages are whole numbers, so that a window of 8% is measured to about one eighth. */
export const windowPercent = 8;
/** Less progress than this says nothing, whatever time it took. */
export const smallestWindowPercent = 3;
/** A window that is open for this long ends with less progress, so that a worker that turned slow shows soon. */
export const longWindowMilliseconds = 4000;
/** Shorter windows measure mostly when reports arrive: agents report twice a second. */
export const shortestWindowMilliseconds = 1000;
/** Runs of a group that are needed before their median counts as the usual pace. */
export const comparableRuns = 5;
/** Workers on which these runs have to be, so that one worker's speed does not pass for the usual one. */
export const comparableWorkers = 4;
/** Values that deviate more from the median do not count towards a mean. */
export const outlierFactor = 2;
/** Remembered paces of a group. */
export const rememberedPaces = 40;
/** Remembered groups; those without new paces for the longest time are dropped first. */
export const rememberedGroups = 512;
/** Runs that are slower or faster than usual by more than these factors say nothing about their worker or neighbours: a wrong report, a task that is long. */
export const implausibleFactors = {slow: 8, fast: 3} as const;
/** Observations that an estimate of a worker's speed needs. Durations of equal tasks differ by 15%. */
export const speedObservations = 3;
/** Remembered observations of a worker. */
export const rememberedObservations = 16;
/** Remembered workers: those of the target size. */
export const rememberedWorkers = 4300;
/** Remembered open windows. With 2,000 runs a sample takes about 40 ms and the memory stays near 8 MB; with the 23,000 runs of the target size it took 400 ms and 60 MB. */
export const rememberedWindows = 2000;
/** How long beliefs hold without confirmation. */
export const beliefMilliseconds = 30_000;
/** How long a worker counts as slow without confirmation. Workers turn slow for some seconds, and are left out of gangs meanwhile. */
export const slowBeliefMilliseconds = 10_000;
/** Workers below this speed are slow. The usual speeds are 0.8 to 1.25; a worker that turns slow is five times slower. */
export const slowSpeed = 0.5;
/** Speeds within one step count as equal: the steps between 0.8, 1 and 1.25. */
export const speedStepFactor = 1.25;
/** The newest observations that show that a worker turned slow, or is no longer slow. */
export const newestObservations = 3;
/** Remembered observations of a kind. */
export const rememberedOfKind = 256;
/** Remembered kinds; those without new observations for the longest time are dropped first. */
export const rememberedKinds = 64;
/** Held pairs of kinds; those closest to their end are dropped first. */
export const rememberedPairs = 256;
/** Neighbours of a kind that are compared at a time, those seen most often. */
export const comparedNeighbours = 8;
/** Kinds that are judged with each sample, in turns. Each takes up to 10 ms. */
export const judgedKinds = 2;
/** Observations that each side of a comparison needs. */
export const interferenceObservations = 8;
/** Workers that each side of a comparison needs, so that a worker that is slow or cold makes no belief. */
export const interferenceWorkers = 4;
/** Observations on the same worker without the neighbour, by whose median a pace is divided. */
export const baselineObservations = 1;
/** Runs beside a neighbour that are slower than this are taken for another fault: a worker that turned slow, a task that is long. */
export const implausibleInterference = 4;
/** A pair is believed to interfere below the first factor, and no longer above the second. */
export const interferenceFactors = {begin: 0.8, end: 0.9} as const;
/** Standard errors by which the sides have to differ for a belief, and for its confirmation. */
export const interferenceErrors = {begin: 4, confirm: 2} as const;
/** Smallest standard deviation of a worker's mean that is assumed, since few workers may agree by chance. */
export const smallestDeviation = 0.1;
