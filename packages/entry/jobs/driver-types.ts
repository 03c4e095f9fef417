/** The task that drives one job: its state, messages and effects. */
import type {
	Milliseconds, MonotonicTime, RefusalReason, WorkerId,
} from '#core';
import type {GangRequest, MemberPlacement} from '#placement';
import type {
	Checkpoints, GangAnswer, GangFindResult, MemberState, StopResult,
} from '#protocol';
import type {JobRecord, PlacedMember} from '#recovery';
import type {WriteReply} from '#store';

/** Steps in which every agent of a gang has to agree. `raise` gives an adopted gang the new owner's attempt. */
export type AgentStep = 'reserve' | 'commit' | 'raise' | 'start';

export type StopCause = 'cancelled' | 'failed' | 'lost';

/** `unreachable` means that no answer came; `gone` that another incarnation runs at the place. */
export type CallFailure = Readonly<{kind: 'unreachable'}> | Readonly<{kind: 'gone'}>;

export type DriverPhase =
	| Readonly<{kind: 'waiting'}>
	| Readonly<{kind: 'placing'}>
	| Readonly<{kind: 'writing'; next: JobRecord; failures: number}>
	| Readonly<{kind: 'agreeing'; step: AgentStep; accepted: ReadonlySet<WorkerId>}>
	| Readonly<{kind: 'finding'; found: ReadonlySet<WorkerId>}>
	| Readonly<{kind: 'running'}>
	| Readonly<{
		kind: 'stopping';
		cause: StopCause;
		reason: RefusalReason;
		mode: 'checkpoint' | 'stop';
		/** Answers to the stop, of which the ends of the members are still asked for. */
		awaitingEnds: ReadonlyMap<WorkerId, StopResult>;
		answers: ReadonlyMap<WorkerId, StopResult | CallFailure>;
	}>
	/** Concluded, or taken over by another entry. */
	| Readonly<{kind: 'done'; isOwner: boolean}>;

export type DriverState = Readonly<{
	/** The record as last written, except for placements that were given up since. */
	record: JobRecord;
	version: number;
	sequence: number;
	phase: DriverPhase;
	waitingFor: RefusalReason | undefined;
	/** Placements that were given up since the job last ran. */
	failures: number;
	cancelRequested: boolean;
	/** Why the gang was lost while a write was under way. */
	lossReason: RefusalReason | undefined;
	/** How members of the present attempt ended. */
	ends: ReadonlyMap<number, MemberState>;
	renewedAt: ReadonlyMap<WorkerId, MonotonicTime>;
}>;

export type PlacementAnswer =
	| Readonly<{kind: 'placed'; members: readonly PlacedMember[]}>
	| Readonly<{kind: 'waiting'; reason: RefusalReason}>
	| Readonly<{kind: 'impossible'}>;

export type DriverMessage =
	/** The record has been written, by a submission or an adoption. */
	| Readonly<{kind: 'opened'}>
	| Readonly<{kind: 'placement-due'}>
	| Readonly<{kind: 'placed'; answer: PlacementAnswer}>
	| Readonly<{kind: 'stored'; writeId: string; reply: WriteReply}>
	| Readonly<{kind: 'write-due'; writeId: string}>
	| Readonly<{kind: 'answered'; step: AgentStep; attempt: number; worker: WorkerId; answer: GangAnswer | CallFailure}>
	| Readonly<{kind: 'resend'; step: AgentStep; attempt: number; worker: WorkerId}>
	| Readonly<{kind: 'step-expired'; step: AgentStep | 'find' | 'stop'; attempt: number}>
	| Readonly<{kind: 'found'; attempt: number; worker: WorkerId; answer: Readonly<{kind: 'found'}> & GangFindResult | CallFailure}>
	| Readonly<{kind: 'find-again'; attempt: number; worker: WorkerId}>
	| Readonly<{kind: 'stop-answered'; attempt: number; worker: WorkerId; answer: StopResult | CallFailure}>
	| Readonly<{kind: 'stop-again'; attempt: number; worker: WorkerId}>
	| Readonly<{kind: 'ended'; attempt: number; member: number; state: MemberState}>
	| Readonly<{kind: 'renewed'; worker: WorkerId; attempt: number}>
	| Readonly<{kind: 'renewal-failed'; worker: WorkerId; attempt: number}>
	/** Every member on the worker has finished, whether or not messages about them arrived. */
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
	/** Sends the message after a backoff with full jitter. */
	| Readonly<{kind: 'back-off'; failures: number; message: DriverMessage}>
	| Readonly<{kind: 'concluded'; record: JobRecord; isOwner: boolean}>;
