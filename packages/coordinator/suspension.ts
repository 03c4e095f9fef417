/** Notices that the machine was suspended, during which its steady clock stood still. */
import type {MonotonicTime} from '#core';
import type {Clock} from '#kernel';

/** A steady clock that fell this far behind the time of day has stood still. */
const suspensionMilliseconds = 500;

export type SuspensionGuard = Readonly<{
	/** Whether something that is valid until a time was confirmed after the last suspension. */
	isConfirmed(validUntil: MonotonicTime): boolean;
}>;

/** Creates a guard; it has to be asked often, since it compares the clocks with those of the last question. */
export function createSuspensionGuard(clock: Clock): SuspensionGuard {
	let offset = clock.now() - clock.monotonic();
	/** What was valid until this time or earlier was confirmed before the last suspension. */
	let doubtful = -Infinity;
	return {
		isConfirmed(validUntil) {
			const present = clock.now() - clock.monotonic();
			if (present - offset > suspensionMilliseconds) {
				doubtful = validUntil;
			}

			offset = present;
			return validUntil > doubtful;
		},
	};
}
