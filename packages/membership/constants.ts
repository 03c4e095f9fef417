/** An agent without a report for this time is probed; reports arrive every 2 s. */
export const probeAfterMilliseconds = 3000;
/** An agent without a report for this time, three report intervals, gets no new work. */
export const staleAfterMilliseconds = 6000;
/** Number of replaced incarnations that are retained per worker, so that their late announcements are ignored. */
export const maximumReplacedIncarnations = 8;
