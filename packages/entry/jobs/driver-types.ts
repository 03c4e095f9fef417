/** State, messages and effects of the task that drives one job. */
import type {
	Milliseconds, MonotonicTime, RefusalReason, WorkerId,
} from '#core';
import type {GangRequest, MemberPlacement} from '#placement';
import type {
	Checkpoints, GangAnswer, GangFindResult, MemberState, StopResult,
} from '#protocol';
import type {JobRecord, PlacedMember} from '#recovery';
import type {WriteReply} from '#store';

/** Steps that every agent of a gang has to accept. `raise` raises an adopted gang to the new owner's attempt. */
export type AgentStep = 'reserve' | 'commit' | 'raise' | 'start';

export type StopCause = 'cancelled' | 'failed' | 'lost';

/** `unreachable`: the agent did not answer. `gone`: another incarnation of the agent runs on the worker. */
export type CallFailure = Readonly<{kind: 'unreachable'}> | Readonly<{kind: 'gone'}>;

export type DriverPhase =
	| Readonly<{kind: 'waiting'}>
	| Readonly<{kind: 'placing'}>
	| Readonly<{kind: 'writing'; next: JobRecord; failures: number}>
	/** Waiting until every agent of the gang has accepted the step. */
	| Readonly<{kind: 'agreeing'; step: AgentStep; accepted: ReadonlySet<WorkerId>}>
	| Readonly<{kind: 'finding'; found: ReadonlySet<WorkerId>}>
	| Readonly<{kind: 'running'}>
	| Readonly<{
		kind: 'stopping';
		cause: StopCause;
		reason: RefusalReason;
		mode: 'checkpoint' | 'stop';
		/** Stop answers of agents that are still queried for how their members ended. */
		awaitingEnds: ReadonlyMap<WorkerId, StopResult>;
		answers: ReadonlyMap<WorkerId, StopResult | CallFailure>;
	}>
	/** Concluded, or released to another entry. */
	| Readonly<{kind: 'done'; isOwner: boolean}>;

export type DriverState = Readonly<{
	/** The record as last written, except that placements abandoned since are reset. */
	record: JobRecord;
	/** Version of the record in the store, expected by the next write. */
	version: number;
	/** Number of records that this driver has written; part of each write's identifier. */
	sequence: number;
	phase: DriverPhase;
	waitingFor: RefusalReason | undefined;
	/** Placements that failed or were abandoned, and gangs that were lost; sets the backoff. */
	failures: number;
	cancelRequested: boolean;
	/** Why the gang was lost while a write was in progress. */
	lossReason: RefusalReason | undefined;
	/** How members of the current attempt ended, by member number. */
	ends: ReadonlyMap<number, MemberState>;
	renewedAt: ReadonlyMap<WorkerId, MonotonicTime>;
}>;

export type PlacementAnswer =
	| Readonly<{kind: 'placed'; members: readonly PlacedMember[]}>
	| Readonly<{kind: 'waiting'; reason: RefusalReason}>
	| Readonly<{kind: 'impossible'}>;

export type DriverMessage =
	/** A submission or an adoption has written the record. */
	| Readonly<{kind: 'opened'}>
	| Readonly<{kind: 'placement-due'}>
	| Readonly<{kind: 'placed'; answer: PlacementAnswer}>
	| Readonly<{kind: 'stored'; writeId: string; reply: WriteReply}>
	| Readonly<{kind: 'write-due'; writeId: string}>
	| Readonly<{kind: 'answered'; step: AgentStep; attempt: number; worker: WorkerId; answer: GangAnswer | CallFailure}>
	| Readonly<{kind: 'resend-step'; step: AgentStep; attempt: number; worker: WorkerId}>
	| Readonly<{kind: 'step-timed-out'; step: AgentStep | 'find' | 'stop'; attempt: number}>
	| Readonly<{kind: 'found'; attempt: number; worker: WorkerId; answer: Readonly<{kind: 'found'}> & GangFindResult | CallFailure}>
	| Readonly<{kind: 'resend-find'; attempt: number; worker: WorkerId}>
	| Readonly<{kind: 'stop-answered'; attempt: number; worker: WorkerId; answer: StopResult | CallFailure}>
	| Readonly<{kind: 'resend-stop'; attempt: number; worker: WorkerId}>
	| Readonly<{kind: 'ended'; attempt: number; member: number; state: MemberState}>
	| Readonly<{kind: 'renewed'; worker: WorkerId; attempt: number}>
	| Readonly<{kind: 'renewal-failed'; worker: WorkerId; attempt: number}>
	/** The agent reports that every member on the worker has ended; its `ended` messages may have been lost. */
	| Readonly<{kind: 'members-ended'; worker: WorkerId; attempt: number}>
	| Readonly<{kind: 'lapsed'; worker: WorkerId; attempt: number}>
	| Readonly<{kind: 'cancel'}>
	| Readonly<{kind: 'release'}>;

export type DriverEffect =
	| Readonly<{kind: 'write-record'; record: JobRecord; expectedVersion: number}>
	| Readonly<{kind: 'place'; request: GangRequest}>
	| Readonly<{kind: 'reserve'; record: JobRecord; worker: WorkerId; members: ReadonlyArray<Pick<MemberPlacement, 'member' | 'accelerators'>>}>
	| Readonly<{kind: 'commit'; record: JobRecord; worker: WorkerId}>
	| Readonly<{kind: 'raise'; record: JobRecord; worker: WorkerId}>
	| Readonly<{kind: 'start'; record: JobRecord; worker: WorkerId; checkpoints: Checkpoints}>
	| Readonly<{kind: 'find'; record: JobRecord; worker: WorkerId}>
	| Readonly<{kind: 'stop'; record: JobRecord; worker: WorkerId; mode: 'checkpoint' | 'stop'}>
	| Readonly<{kind: 'schedule'; delay: Milliseconds; message: DriverMessage}>
	/** Sends the message after a minimum delay plus an exponential backoff with full jitter. */
	| Readonly<{kind: 'back-off'; failures: number; message: DriverMessage}>
	| Readonly<{kind: 'concluded'; record: JobRecord; isOwner: boolean}>;
