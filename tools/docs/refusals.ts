import {refusalReasons, type RefusalReason} from '#core';
import {callerRefusalReasons, type CallerRefusalReason} from '#protocol';

type Advice = Readonly<{meaning: string; action: string}>;

/** The meaning of each reason and the action for an operator or caller. */
const advice: Readonly<Record<RefusalReason, Advice>> = {
	'invalid-request': {meaning: 'The body, a parameter or a message does not fit its schema', action: 'Read the findings; each names its place'},
	'body-too-large': {meaning: 'The body is over `maximum-body-bytes` (1 MB by default)', action: 'Send a reference in place of the data'},
	'too-many-connections': {
		meaning: 'The listener has reached its maximum number of connections, and a request of each is being handled',
		action: 'Reuse connections; add entries',
	},
	'connection-replaced': {
		meaning: 'The connection was idle, or its request arrived slowly, and the listener had reached its maximum number of connections',
		action: 'Connect again; find the client that holds the others',
	},
	'receive-budget-exceeded': {
		meaning: 'The requests being received and the answers not read exceeded `receive-budget-bytes`, and this connection held most for longest; this attempt did not run, and an earlier one may have (504)',
		action: 'Wait for `Retry-After`; find the client whose bodies do not end or that does not read',
	},
	'team-budget-exceeded': {
		meaning: 'The same for one team, or for all callers without a valid API key, which may use half of it; this attempt did not run, and an earlier one may have (504)',
		action: 'Wait for `Retry-After`; find the team\'s client',
	},
	'answer-not-read': {meaning: 'The client did not read an answer within `unread-answer-milliseconds`; the request was handled', action: 'Query the identifier; find the client'},
	'unknown-plan': {meaning: 'No plan of this name is in force', action: 'Add the plan with `put`, or correct the caller'},
	'no-configuration': {meaning: 'The entry has not read a configuration yet', action: 'Put one; check that the store or another entry is reachable'},
	'quota-exceeded': {meaning: 'The plan has reached the maximum in service or in flight that its allowance permits', action: 'Raise `maximumSlots` or `maximumAccelerators`, or send less'},
	'queue-full': {meaning: 'The plan\'s queue, or the worker\'s, is full', action: 'Wait for `Retry-After`; raise `maximumQueued`; add workers'},
	'deadline-unreachable': {meaning: 'The work could not finish before `latestUsefulAt`', action: 'Submit earlier; raise the plan\'s weight or guarantee'},
	'impossible-shape': {
		meaning: 'No state of the zone could ever hold the gang, or it exceeds the accelerators that the plan may use',
		action: 'Request a smaller or less adjacent shape, or raise `maximumAccelerators`',
	},
	'no-worker-available': {meaning: 'No worker that takes work is connected or healthy', action: 'Run `fleet`; check the agents\' logs'},
	'identifier-expired': {meaning: 'The identifier of a non-idempotent request is older than the retention time of identifiers', action: 'Query the old identifier; use a new one for new work'},
	'identifier-in-future': {meaning: 'The identifier\'s time is more than a minute ahead', action: 'Correct the caller\'s clock'},
	'identifier-reused': {meaning: 'Other work has this identifier', action: 'Create one identifier for each piece of work'},
	'claim-unavailable': {meaning: 'The store cannot record the claim that a non-idempotent request needs', action: 'Wait for the store; idempotent requests are still accepted'},
	'store-unavailable': {meaning: 'The store cannot write or read the requested record', action: 'Wait for the store'},
	overloaded: {meaning: 'A bound on memory, connections or buffers is reached', action: 'Wait; add entries or workers'},
	draining: {meaning: 'The process is stopping and accepts no new work', action: 'Nothing; the entry sends it elsewhere'},
	'not-owner': {meaning: 'Another entry owns the job', action: 'Nothing; the message came late'},
	'stale-attempt': {meaning: 'A later attempt of the gang exists', action: 'Nothing; the message came late'},
	'stale-incarnation': {meaning: 'The message was addressed to an earlier incarnation of the agent, which has restarted', action: 'Nothing; the entry learns the new incarnation'},
	'accelerators-busy': {meaning: 'Another gang holds the accelerators', action: 'Nothing; the gang is placed again'},
	'cell-not-owned': {meaning: 'The accelerators are guaranteed to another plan and the gang is not preemptible', action: 'Nothing; the entry learns the layout'},
	'older-gang-waiting': {meaning: 'An older gang takes precedence', action: 'Nothing; the gang is placed again'},
	'lease-lapsed': {meaning: 'The owner did not renew the gang in time', action: 'If frequent, check for frozen or overloaded entries'},
	withdrawn: {meaning: 'The entry withdrew the request before it started', action: 'Nothing'},
	cancelled: {meaning: 'The caller cancelled', action: 'Nothing'},
	'worker-failed': {meaning: 'The worker lost the task or could not start it', action: 'Check the worker; `ejected-workers` counts those that fail most of what they start'},
	'connection-lost': {meaning: 'The connection to the place of the work broke or went silent', action: 'Query the identifier later; if frequent, check the network'},
	'link-limited': {meaning: 'Forwarding to another region has reached its limit of bytes per second', action: 'Raise `forward-bytes-per-second` if the link has spare bandwidth'},
	timeout: {meaning: 'The answer did not arrive in time', action: 'Query the identifier later'},
};

/** The same for entries on the users' platform, which answer 503 with `Retry-After`. */
const callerAdvice: Readonly<Record<CallerRefusalReason, Advice>> = {
	'store-unavailable': {meaning: 'The store does not take the job, and nothing was written', action: 'Wait for the store'},
	'no-configuration': {meaning: 'The entry has not read a configuration yet', action: 'Put one; check that the store or another entry is reachable'},
	'configuration-outdated': {meaning: 'Callers may have seen a newer configuration than the entry has', action: 'Nothing; if it lasts, check the entry\'s connection to the store'},
	'too-many-tasks': {meaning: 'The scheduler has no memory for the job at present', action: 'Wait for `Retry-After`; submit fewer or smaller jobs'},
	'no-capacity-in-time': {
		meaning: 'Even by an optimistic estimate the job would end later than three times its objective, it is not within its team\'s guarantee, and the team holds more than its equal share of the waiting work',
		action: 'Wait for `Retry-After`, after which the estimate allows the job; add workers; raise the guarantee',
	},
	'too-many-withdrawals': {meaning: 'Too many jobs that are not accepted were cancelled lately', action: 'Wait for `Retry-After`'},
};

/** Formats the page of refusal reasons. */
export function formatRefusals(): string {
	const rows = refusalReasons.map(reason => `| \`${reason}\` | ${advice[reason].meaning} | ${advice[reason].action} |`);
	const callerRows = callerRefusalReasons.map(reason => `| \`${reason}\` | ${callerAdvice[reason].meaning} | ${callerAdvice[reason].action} |`);
	return `# Refusal reasons

Generated by \`npx tsx tools/generate-docs.ts\`. Each reason is a label of \`dotterelnotch_refusals_total\` and the \`reason\` of problem details;
its type is \`urn:dotterelnotch:problem:\` followed by the reason. \`dotterelnotch_retries_total\` counts retries, by the reason of the attempt before.

| reason | meaning | what to do |
|---|---|---|
${rows.join('\n')}

## On the users' platform

Entries answer 503 with the reason as \`error\` and \`Retry-After\`. Nothing was written for the call, and nothing runs because of it.

| reason | meaning | what to do |
|---|---|---|
${callerRows.join('\n')}
`;
}
