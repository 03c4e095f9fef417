/** An agent without a report for this time is probed; reports come every 2 s. */
export const probeAfterMilliseconds = 3000;
/** An agent without a report for this time gets nothing new: three report intervals. */
export const staleAfterMilliseconds = 6000;
/** Earlier incarnations remembered per worker, so that their late messages are ignored. */
export const maximumReplacedIncarnations = 8;
