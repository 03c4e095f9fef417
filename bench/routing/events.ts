import type {Milliseconds} from '#core';

type Event = Readonly<{at: Milliseconds; sequence: number; act: () => void}>;

/** Virtual time for models with very many events: a binary heap in order of time, then of insertion. */
export class EventQueue {
	now = 0;
	private readonly heap: Event[] = [];
	private sequence = 0;

	schedule(delay: Milliseconds, act: () => void): void {
		this.heap.push({at: this.now + Math.max(0, delay), sequence: this.sequence++, act});
		this.moveUp(this.heap.length - 1);
	}

	/** Runs events until the given one says that everything is over, or none is left. */
	run(isOver: () => boolean): void {
		for (let event = this.takeFirst(); event !== undefined && !isOver(); event = this.takeFirst()) {
			this.now = event.at;
			event.act();
		}
	}

	private takeFirst(): Event | undefined {
		const first = this.heap[0];
		const last = this.heap.pop();
		if (first !== undefined && last !== undefined && this.heap.length > 0) {
			this.heap[0] = last;
			this.moveDown(0);
		}

		return first;
	}

	private isBefore(left: number, right: number): boolean {
		const first = this.heap[left];
		const second = this.heap[right];
		if (first === undefined || second === undefined) {
			return first !== undefined;
		}

		return first.at < second.at || (first.at === second.at && first.sequence < second.sequence);
	}

	private swap(left: number, right: number): void {
		const first = this.heap[left];
		const second = this.heap[right];
		if (first !== undefined && second !== undefined) {
			this.heap[left] = second;
			this.heap[right] = first;
		}
	}

	private moveUp(from: number): void {
		for (let index = from; index > 0;) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.isBefore(index, parent)) {
				return;
			}

			this.swap(index, parent);
			index = parent;
		}
	}

	private moveDown(from: number): void {
		for (let index = from; ;) {
			const left = (2 * index) + 1;
			const child = this.isBefore(left + 1, left) ? left + 1 : left;
			if (child >= this.heap.length || !this.isBefore(child, index)) {
				return;
			}

			this.swap(index, child);
			index = child;
		}
	}
}
