/** Requests whose service takes longer than this count as long, also in agents, where running `short` work counts as long after this time. */
export const shortLimitMilliseconds = 1000;
/** First guess of the service time where the caller declares none. */
export const defaultEstimateMilliseconds = 100;
/** Observed service times kept per plan and kind. */
export const maximumServiceTimesPerKind = 32;
/** Observations from which the observed times are believed instead of the declared one. */
export const minimumObservations = 5;
/** Pairs of plan and kind that are remembered; the one unused for longest is forgotten first. */
export const maximumObservedKinds = 4096;
/** Random picks before the candidates are scanned in order. */
export const maximumRandomPicks = 6;
/** Weight of the newest report in the estimate of what other entries have at a worker. */
export const reportSmoothingWeight = 0.2;
/** How long a new or returning worker takes to get its full share. */
export const slowStartMilliseconds = 10_000;
/** Share of its slots that a worker counts for when slow start begins. */
export const slowStartShare = 0.1;
/** Ended requests from which a worker may be ejected; counts halve with every half-life. */
export const minimumEndsForEjection = 5;
export const healthHalfLifeMilliseconds = 10_000;
/** A worker is ejected if more than this share of what it started failed. */
export const ejectionFailureShare = 0.5;
/** Nobody is ejected while more than this share of the other workers fails most requests. */
export const commonFailureShare = 0.5;
/** At most this share of the workers is ejected. */
export const maximumEjectedShare = 1 / 3;
/** Duration of the first ejection; it doubles with each failed trial. */
export const ejectionMilliseconds = 10_000;
export const maximumEjectionMilliseconds = 120_000;
/** A trial without an end is repeated after this time. */
export const trialTimeoutMilliseconds = 30_000;
