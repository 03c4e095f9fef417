export const maximumPlans = 5000;
export const maximumCellAccelerators = 256;
/** Key of the store that holds the configuration. */
export const configurationKey = 'configuration';
/** Keys of the store that hold earlier revisions start with this. */
export const historyKeyPrefix = 'history/configuration/';
/** Number of earlier revisions that are kept. */
export const historyLength = 50;
/** Largest JSON text of the two lists, in bytes; the store takes values up to 1 MB. */
export const maximumConfigurationBytes = 950_000;
/** Bounds of the delay before a call of a change is tried again. */
export const changeRetryMinimumMilliseconds = 100;
export const changeRetryMaximumMilliseconds = 1000;
