/** Detects that the machine was suspended, during which its monotonic clock stood still, or the process paused. */
import type {MonotonicTime} from '#core';
import type {Clock} from '#kernel';

/** If the monotonic clock falls behind the wall clock by more than this, the machine was suspended. */
const suspensionThresholdMilliseconds = 500;
/** If the guard was not called for longer than this, the process was paused; the scheduler calls it four times a second. */
const pauseThresholdMilliseconds = 1000;

/** Something that was confirmed for a limited time, such as a lease, and when its confirmation was requested. */
type Confirmation = Readonly<{requestedAt: MonotonicTime; validUntil: MonotonicTime}>;

export type SuspensionGuard = Readonly<{
	/** Whether the confirmation was requested after the last suspension, and did not run out during a pause. */
	isConfirmed(confirmation: Confirmation): boolean;
}>;

/** Creates a guard. It has to be called often, because each call compares the clocks with those of the previous call. */
export function createSuspensionGuard(clock: Clock): SuspensionGuard {
	let checkedAt = clock.monotonic();
	let offset = clock.now() - checkedAt;
	/** Confirmations that were requested until this time are void, also if their replies arrive later. */
	let voidUntil = -Infinity;
	return {
		isConfirmed({requestedAt, validUntil}) {
			const monotonic = clock.monotonic();
			const currentOffset = clock.now() - monotonic;
			const wasSuspended = currentOffset - offset > suspensionThresholdMilliseconds;
			const hasRunOutInPause = monotonic - checkedAt > pauseThresholdMilliseconds && monotonic > validUntil;
			if (wasSuspended || hasRunOutInPause) {
				voidUntil = monotonic;
			}

			offset = currentOffset;
			checkedAt = monotonic;
			return requestedAt > voidUntil;
		},
	};
}
