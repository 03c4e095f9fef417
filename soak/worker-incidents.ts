/** Applies the faults of workers to the stand-ins of a fleet. */
import {assertNever} from '#core';
import {sleep, systemClock} from '#kernel';
import type {PlatformWorker} from '#test/support/platform/worker';
import type {WorkerFault} from './types.js';

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
				await change(fault.index, async worker => {
					worker.drain(fault.drain);
					await sleep(systemClock, fault.drain);
					await worker.depart(fault.departure);
					await sleep(systemClock, fault.away);
					await worker.comeBack(fault.identifier === 'new' ? `i-${fault.index}-${++lives}` : undefined);
				});
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

			default: {
				assertNever(fault);
			}
		}
	};
}

/** Time to listen again after a restart. */
const restartMarginMilliseconds = 50;
