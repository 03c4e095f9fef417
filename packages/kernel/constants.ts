/** Exit code for an invalid setting or command line. */
export const exitCodeInvalidSettings = 2;
/** Exit code for any other failure. */
export const exitCodeFailure = 1;
/** Prefix of the environment variables for settings. */
export const environmentPrefix = 'DOTTERELNOTCH_';
/** Upper bound of the latency histograms; longer latencies are recorded as this value. */
export const maximumLatencyMilliseconds = 3_600_000;
export const histogramSignificantDigits = 2;
/** Rate limit of a program's log; a busy entry writes about 50 lines per second. */
export const maximumLogLinesPerSecond = 500;
