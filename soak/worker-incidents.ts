/** Applies the faults of workers to the stand-ins of a fleet. */
import {assertNever} from '#core';
import {sleep, systemClock} from '#kernel';
import type {Departure} from '#test/support/platform/worker-announcements';
import type {PlatformWorker} from '#test/support/platform/worker';
import type {WorkerFault, WorkerReturn} from './types.js';

/** Injects a fault and resolves when it is over. A worker is not restarted while it leaves, and does not leave twice at a time. */
export type ApplyWorkerFault = (fault: WorkerFault) => Promise<void>;

export function createWorkerFaults(workers: readonly PlatformWorker[]): ApplyWorkerFault {
	const busy = new Set<number>();
	let lives = 0;

	/** Carries out a change of the worker's presence unless another one is under way. */
	const change = async (index: number, action: (worker: PlatformWorker) => Promise<void>) => {
		const worker = workers[index];
		if (worker === undefined || busy.has(index)) {
			return;
		}

		busy.add(index);
		await action(worker);
		busy.delete(index);
	};

	const restart = async (index: number, downMilliseconds: number, silentMilliseconds: number) => change(index, async worker => {
		worker.crash({downMilliseconds, silentMilliseconds});
		await sleep(systemClock, downMilliseconds + silentMilliseconds + restartMarginMilliseconds);
	});

	const leave = async (index: number, {drain, departure, away, identifier}: Leave) => change(index, async worker => {
		worker.drain(drain);
		await sleep(systemClock, drain);
		await worker.depart(departure);
		await sleep(systemClock, away);
		await worker.comeBack(identifier === 'new' ? `i-${index}-${++lives}` : undefined);
	});

	const carryOutReturn = async (index: number, planned: WorkerReturn) => {
		await sleep(systemClock, planned.pause);
		switch (planned.kind) {
			case 'restart': {
				await restart(index, planned.down, 0);
				break;
			}

			case 'leave': {
				const {drain, away} = planned;
				await leave(index, {
					drain, departure: {kind: 'confirmed', endsAfter: returnEndsAfterMilliseconds}, away, identifier: 'same',
				});
				break;
			}

			default: {
				assertNever(planned);
			}
		}
	};

	return async fault => {
		switch (fault.kind) {
			case 'restart-worker': {
				await restart(fault.index, fault.down, fault.silent);
				break;
			}

			case 'late-orders': {
				const worker = workers[fault.index];
				worker?.delayOrders(fault.orders, fault.delay);
				await sleep(systemClock, fault.duration);
				worker?.answerOrders();
				if (fault.restart !== undefined) {
					await restart(fault.index, fault.restart.down, 0);
				}

				break;
			}

			case 'leave-worker': {
				await leave(fault.index, fault);
				if (fault.departure.kind === 'report-delayed') {
					await sleep(systemClock, fault.reportedAfter);
					await workers[fault.index]?.deliverLate('departure');
				}

				break;
			}

			case 'late-announcement': {
				await workers[fault.index]?.deliverLate('announcement');
				break;
			}

			case 'late-returns': {
				const worker = workers[fault.index];
				worker?.delayOrders(['start'], fault.delay);
				await sleep(systemClock, fault.interval);
				worker?.answerOrders();
				for (const planned of fault.returns) {
					await carryOutReturn(fault.index, planned);
				}

				break;
			}

			default: {
				assertNever(fault);
			}
		}
	};
}

type Leave = Pick<Extract<WorkerFault, {kind: 'leave-worker'}>, 'drain' | 'away' | 'identifier'> & Readonly<{departure: Departure}>;

/** A worker whose departure is not confirmed ends after this time. */
const returnEndsAfterMilliseconds = 2000;
/** Time to listen again after a restart. */
const restartMarginMilliseconds = 50;
