/** What a platform provides to the agent. A platform's plug-ins fill these services. */
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
	/** Time on the worker's clock until which the run holds. */
	deadline: Milliseconds;
}>;

export type StartReply =
	| Readonly<{kind: 'started'; clock: Milliseconds | undefined}>
	/** The run certainly did not start. */
	| Readonly<{kind: 'refused'; reason: 'no-room' | 'unhealthy' | 'too-late' | 'run-too-low' | 'superseded' | 'invalid'}>
	/** The run may have started, or may start later. */
	| Readonly<{kind: 'unknown'; message: string}>;

export type StopCall = Readonly<{worker: WorkerId; epoch: number; task: TaskName; run: number}>;

export type StopReply = Readonly<{kind: 'stopped'}> | Readonly<{kind: 'failed'; message: string}>;

/** The worker beside the agent. Every call has a timeout; none throws. */
export type WorkerPort = Readonly<{
	extendLeases(order: LeaseExtension): Promise<LeaseExtensionResult>;
	start(call: StartCall): Promise<StartReply>;
	stop(call: StopCall): Promise<StopReply>;
}>;

export const workerPort = createServiceKey<WorkerPort>('worker');

/** Finds entries in the platform's store when no known one answers. */
export type EntrySource = Readonly<{list(): Promise<readonly string[]>}>;

export const entrySourcePort = createServiceKey<EntrySource>('entry-source');

/** A listener for the worker's announcements. */
export type AnnouncementListener = Readonly<{open(): Promise<void>; close(): Promise<void>}>;

export const announcementsPort = createServiceKey<AnnouncementListener>('announcements');
