/** Reasons with which entries on the users' platform refuse a call. Each is a label value of the refusal counter, and the `error` of the answer. */
export const callerRefusalReasons = [
	'store-unavailable',
	'no-configuration',
	'configuration-outdated',
	'too-many-tasks',
	'no-capacity-in-time',
	'too-many-withdrawals',
] as const;

export type CallerRefusalReason = typeof callerRefusalReasons[number];
