import * as valibot from 'valibot';

/**
Stable reasons for refusing work. Each is a label value of the refusal counter and appears in problem details.

A refusal by an agent guarantees that the work did not start there and cannot start later under the same identifier.
*/
export const refusalReasons = [
	'invalid-request',
	'body-too-large',
	'too-many-connections',
	'connection-replaced',
	'receive-budget-exceeded',
	'team-budget-exceeded',
	'answer-not-read',
	'unknown-plan',
	'no-configuration',
	'quota-exceeded',
	'queue-full',
	'deadline-unreachable',
	'impossible-shape',
	'no-worker-available',
	'identifier-expired',
	'identifier-in-future',
	'identifier-reused',
	'claim-unavailable',
	'store-unavailable',
	'overloaded',
	'draining',
	'not-owner',
	'stale-attempt',
	'stale-incarnation',
	'accelerators-busy',
	'cell-not-owned',
	'older-gang-waiting',
	'lease-lapsed',
	'withdrawn',
	'cancelled',
	'worker-failed',
	'connection-lost',
	'link-limited',
	'timeout',
] as const;

export const refusalReasonSchema = valibot.picklist(refusalReasons);
export type RefusalReason = typeof refusalReasons[number];
