export const maximumPlans = 5000;
export const maximumCellAccelerators = 256;
/** Store key of the configuration. */
export const configurationKey = 'configuration';
/** Prefix of the store keys of earlier revisions. */
export const historyKeyPrefix = 'history/configuration/';
/** Number of earlier revisions that the store retains. */
export const historyLength = 50;
/** Maximum size of the two lists as JSON; the store accepts values up to 1 MB. */
export const maximumConfigurationBytes = 950_000;
/** Bounds of the random delay before a failed call of a change is retried. */
export const changeRetryMinimumMilliseconds = 100;
export const changeRetryMaximumMilliseconds = 1000;
