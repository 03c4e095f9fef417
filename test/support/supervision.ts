/** Builders of the messages that an agent receives from and about its worker. */
import type {WorkerId} from '#core';
import type {ListedEnds, ServiceName, TaskName} from '#jobs';
import {
	initialSupervisionState, receiveSupervisionMessage, type Announcement, type LeaseExtension, type SupervisionEffect, type SupervisionMessage, type SupervisionState,
} from '#supervision';

export const options = {maximumLeaseMilliseconds: 6000, workerAddress: 'h:1'};
export const task = '00000000000000a1.0.0.0' as TaskName;
export const noEnds: ListedEnds = {kind: 'whole', ends: []};

export function announcement(change: Partial<Announcement> = {}): Announcement {
	return {
		worker: 'w' as WorkerId, address: 'h:1', incarnation: '100', startedAt: 100, sequence: 1, service: 'svc' as ServiceName, zone: 'z', labels: ['a', 'r'], rack: 'r',
		capacity: {processorMillicores: 1, memoryMegabytes: 1, accelerators: 1}, state: 'ready', leavesInMilliseconds: undefined, clock: 50_000, ...change,
	};
}

export function applyMessages(messages: ReadonlyArray<readonly [number, SupervisionMessage, number?]>): Readonly<{state: SupervisionState; effects: readonly SupervisionEffect[]}> {
	let state = initialSupervisionState;
	let effects: readonly SupervisionEffect[] = [];
	for (const [monotonic, message, now = monotonic] of messages) {
		const step = receiveSupervisionMessage(state, message, {now, monotonic}, options);
		state = step.state;
		effects = step.effects;
	}

	return {state, effects};
}

export const granted = {
	kind: 'granted', epoch: 3, sentAt: 0, validity: 7500, incarnation: '100', notedEnd: 0, reported: {incarnation: '100', clock: 50_000},
} as const satisfies SupervisionMessage;

export function buildExtension(change: Partial<LeaseExtension> = {}): LeaseExtension {
	return {
		worker: 'w' as WorkerId, incarnation: '100', epoch: 3, deadline: 56_000, leaseUntil: 6000, notedEnd: 0, wait: 0, isRecurring: false, ...change,
	};
}

export function extensionAnswered(clock: number, change: Readonly<{running?: readonly string[]; incarnation?: string}> = {}): SupervisionMessage {
	return {
		kind: 'extension-answered',
		extension: buildExtension(),
		result: {
			kind: 'answered', incarnation: change.incarnation ?? '100', clock, running: (change.running ?? []).map(name => ({
				task: name as TaskName, run: 1, checkpoint: '', percent: 5,
			})), ended: noEnds,
		},
	};
}

/** A run is started at 10 ms, when the worker's clock shows 50,010 ms. */
export const startedAt10: ReadonlyArray<readonly [number, SupervisionMessage]> = [
	[0, {kind: 'announced', announcement: announcement()}],
	[0, granted],
	[0, extensionAnswered(50_000)],
	[10, {
		kind: 'started', incarnation: '100', task, run: 1, clock: 50_010,
	}],
];
