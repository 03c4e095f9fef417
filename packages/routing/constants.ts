/** Requests with a longer service time count as long. Agents also count running `short` requests as long after this time. */
export const shortLimitMilliseconds = 1000;
/** Initial estimate of the service time if the caller declares none. */
export const defaultEstimateMilliseconds = 100;
/** Maximum number of service times that are retained per plan and kind. */
export const maximumServiceTimesPerKind = 32;
/** Number of observations from which the observed times replace the declared one. */
export const minimumObservations = 5;
/** Maximum number of pairs of plan and kind with retained service times; the least recently observed one is evicted first. */
export const maximumObservedKinds = 4096;
/** Number of random picks before the candidates are scanned in order. */
export const maximumRandomPicks = 6;
/** Weight of the latest report in the smoothed load that other entries put on a worker. */
export const reportSmoothingWeight = 0.2;
/** Time until a new or recovered worker gets its full share. */
export const slowStartMilliseconds = 10_000;
/** Share of a worker's slots that counts at the beginning of slow start. */
export const slowStartShare = 0.1;
/** Minimum number of ended requests before a worker may be ejected; the counts decay with the half-life. */
export const minimumEndsForEjection = 5;
export const healthHalfLifeMilliseconds = 10_000;
/** A worker is ejected if a larger share of its requests failed. */
export const ejectionFailureShare = 0.5;
/** No worker is ejected while a larger share of the other workers fails most requests. */
export const commonFailureShare = 0.5;
/** Maximum share of the workers that is ejected at the same time. */
export const maximumEjectedShare = 1 / 3;
/** Duration of the first ejection; it doubles with each failed trial. */
export const ejectionMilliseconds = 10_000;
export const maximumEjectionMilliseconds = 120_000;
/** A trial request without a result is repeated after this time. */
export const trialTimeoutMilliseconds = 30_000;
