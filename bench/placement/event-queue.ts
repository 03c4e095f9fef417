import type {Milliseconds} from '#core';

/** Events in order of time; events of the same time keep the order in which they were added. */
export type EventQueue<Event> = Readonly<{
	add(at: Milliseconds, event: Event): void;
	next(): Readonly<{at: Milliseconds; event: Event}> | undefined;
}>;

export function createEventQueue<Event>(): EventQueue<Event> {
	const pending: Array<Readonly<{at: Milliseconds; event: Event}>> = [];
	return {
		add(at, event) {
			let low = 0;
			let high = pending.length;
			while (low < high) {
				const middle = Math.floor((low + high) / 2);
				if (pending[middle]!.at > at) {
					low = middle + 1;
				} else {
					high = middle;
				}
			}

			pending.splice(low, 0, {at, event});
		},
		next: () => pending.pop(),
	};
}
