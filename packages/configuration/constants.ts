export const maximumPlans = 5000;
export const maximumCellAccelerators = 256;
/** Key of the store that holds the configuration. */
export const configurationKey = 'configuration';
