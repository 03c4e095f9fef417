/** Changes of membership and configuration within this time lead to one repair. */
export const repairIntervalMilliseconds = 2000;
/** How long after its start an entry waits for agents to announce themselves before it changes the layout: two report intervals. */
export const initialRepairDelayMilliseconds = 4000;
/** Prefix of the store keys that hold layouts; the zone follows. */
export const layoutKeyPrefix = 'layout/';
