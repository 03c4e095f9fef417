/** Interval of layout repairs; changes of membership and configuration within it are handled by one repair. */
export const repairIntervalMilliseconds = 2000;
/** Delay after startup before the entry changes the layout, so that agents can announce themselves: two report intervals. */
export const initialRepairDelayMilliseconds = 4000;
/** Prefix of the store keys of layouts, followed by the zone. */
export const layoutKeyPrefix = 'layout/';
