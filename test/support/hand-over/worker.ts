/** A worker in virtual time: incarnations that know nothing of each other, and the calls that reach them, in time or late. */
import type {WorkerId} from '#core';
import type {ServiceName} from '#jobs';
import {sleep} from '#kernel';
import type {Announcement, LeaseExtensionResult} from '#supervision';
import {workerCallTimeoutMilliseconds, extensionMarginMilliseconds} from '#supervisor';
import type {StartReply, StopReply, WorkerPort} from '../../../packages/supervisor/ports.js';
import {startIncarnation, type Incarnation, type WorkerOptions} from './incarnation.js';
import type {SimulatedProcess} from './process.js';

export type WorkerIdentity = 'same' | 'other';

export type SimulatedWorker = Readonly<{
	name: string;
	/** Calls of one agent's process; answers reach it only while it runs. */
	connect(agent: SimulatedProcess): WorkerPort;
	announce(): Announcement;
	/** Ends everything; the next incarnation has the same identifier or another one. */
	restart(identity: WorkerIdentity): void;
	/** The next starts get no answer, and whichever incarnation is up carries them out after the delay. */
	delayStarts(count: number, delay: number): void;
}>;

type Outcomes<Reply> = Readonly<{timeout: number; failure: Reply; mismatch: Reply}>;

const latencyMilliseconds = 2;
const accelerators = 8;
const failed = {kind: 'failed', message: 'timeout'} as const;

export function createWorker(options: WorkerOptions): SimulatedWorker {
	const {name, clock} = options;
	let incarnation = startIncarnation(options);
	let identifier = name;
	let identities = 1;
	let sequence = 0;
	let delayed = {count: 0, delay: 0};
	/** Resolves with the answer, or after the timeout if the incarnation ended before it. */
	const call = async <Reply>(expected: WorkerId, carryOut: (current: Incarnation) => Promise<Reply> | Reply, {timeout, failure, mismatch}: Outcomes<Reply>): Promise<Reply> => {
		await sleep(clock, latencyMilliseconds);
		const asked = incarnation;
		const reply = expected === identifier ? await carryOut(asked) : mismatch;
		await sleep(clock, latencyMilliseconds);
		if (asked === incarnation) {
			return reply;
		}

		await sleep(clock, timeout);
		return failure;
	};

	return {
		name,
		connect: agent => ({
			async start(request) {
				const failure: StartReply = {kind: 'unknown', message: 'timeout'};
				if (delayed.count === 0) {
					return agent.deliver(await call<StartReply>(request.worker, current => current.start(request), {
						timeout: workerCallTimeoutMilliseconds, failure, mismatch: {kind: 'refused', reason: 'too-late'},
					}));
				}

				delayed = {...delayed, count: delayed.count - 1};
				clock.schedule(delayed.delay, () => {
					if (request.worker === identifier) {
						incarnation.start(request);
					}
				});
				await sleep(clock, workerCallTimeoutMilliseconds);
				return agent.deliver(failure);
			},
			stop: async request => agent.deliver(await call<StopReply>(request.worker, current => current.stop(request), {timeout: workerCallTimeoutMilliseconds, failure: failed, mismatch: failed})),
			async extendLeases(extension) {
				return agent.deliver(await call<LeaseExtensionResult>(extension.worker, async current => current.extendLeases(extension), {
					timeout: extension.wait + extensionMarginMilliseconds, failure: failed, mismatch: {kind: 'absent', message: 'another worker answers'},
				}));
			},
		}),
		announce: () => ({
			worker: identifier as WorkerId,
			address: `${name}:1`,
			incarnation: String(incarnation.born),
			startedAt: incarnation.born,
			sequence: ++sequence,
			service: 'svc' as ServiceName,
			zone: 'z',
			labels: ['a', 'r-1'],
			rack: 'r-1',
			capacity: {processorMillicores: 128_000, memoryMegabytes: 262_144, accelerators},
			state: 'ready',
			leavesInMilliseconds: undefined,
			clock: incarnation.readClock(),
		}),
		restart(identity) {
			incarnation.end();
			sequence = 0;
			identifier = identity === 'same' ? identifier : `${name}-${++identities}`;
			incarnation = startIncarnation({...options, name: identifier});
		},
		delayStarts(count, delay) {
			delayed = {count, delay};
		},
	};
}
