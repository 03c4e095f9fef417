/** Services that a platform's plug-ins provide to the agent. */
import type {Milliseconds, WorkerId} from '#core';
import type {TaskName} from '#jobs';
import {createServiceKey} from '#kernel';
import type {LeaseExtension, LeaseExtensionResult} from '#supervision';

export type StartCall = Readonly<{
	worker: WorkerId;
	epoch: number;
	task: TaskName;
	run: number;
	specification: string;
	checkpoint: string;
	/** Expiry of the run's lease on the worker's clock. */
	deadline: Milliseconds;
}>;

/** `clock` is a reading of the worker's clock, which begins anew with each incarnation. */
export type StartReply =
	| Readonly<{kind: 'started'; clock: Milliseconds | undefined}>
	/** The run definitely did not start. */
	| Readonly<{kind: 'refused'; reason: 'no-room' | 'unhealthy' | 'too-late' | 'run-too-low' | 'superseded' | 'invalid'}>
	/** The run may have started, or may start later. */
	| Readonly<{kind: 'unknown'; message: string}>;

export type StopCall = Readonly<{worker: WorkerId; epoch: number; task: TaskName; run: number}>;

export type StopReply = Readonly<{kind: 'stopped'; clock: Milliseconds | undefined}> | Readonly<{kind: 'failed'; message: string}>;

/** The agent's worker. Every call has a timeout; none throws. */
export type WorkerPort = Readonly<{
	extendLeases(extension: LeaseExtension): Promise<LeaseExtensionResult>;
	start(call: StartCall): Promise<StartReply>;
	stop(call: StopCall): Promise<StopReply>;
}>;

export const workerPort = createServiceKey<WorkerPort>('worker');

/** Lists the entries that are registered in the platform's store; queried while no scheduler is connected. */
export type EntrySource = Readonly<{list(): Promise<readonly string[]>}>;

export const entrySourcePort = createServiceKey<EntrySource>('entry-source');

/** A listener for the worker's announcements. */
export type AnnouncementListener = Readonly<{open(): Promise<void>; close(): Promise<void>}>;

export const announcementsPort = createServiceKey<AnnouncementListener>('announcements');
