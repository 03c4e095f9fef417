/** Exit code for a setting or command line that cannot be used. */
export const exitCodeInvalidSettings = 2;
/** Exit code for any other failure. */
export const exitCodeFailure = 1;
/** Prefix of the environment variable of each setting. */
export const environmentPrefix = 'DOTTERELNOTCH_';
/** Longest latency that a histogram keeps apart, in milliseconds. */
export const maximumLatencyMilliseconds = 3_600_000;
export const histogramSignificantDigits = 2;
/** Most log lines that a program writes in a second; a busy entry writes about 50. */
export const maximumLogLinesPerSecond = 500;
