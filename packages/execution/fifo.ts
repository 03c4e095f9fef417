type Link<Item> = Readonly<{item: Item; previous: Link<Item> | undefined}>;

/** A persistent FIFO queue; adding and removing take amortized constant time. */
export type Fifo<Item> = Readonly<{front: readonly Item[]; offset: number; back: Link<Item> | undefined}>;

export const emptyFifo: Fifo<never> = {front: [], offset: 0, back: undefined};

export function enqueue<Item>(fifo: Fifo<Item>, item: Item): Fifo<Item> {
	return {...fifo, back: {item, previous: fifo.back}};
}

/** Moves the items from the back to an empty front, oldest first. Callers should store the result; otherwise every read repeats the reversal. */
export function normalize<Item>(fifo: Fifo<Item>): Fifo<Item> {
	const {front, offset, back} = fifo;
	return offset < front.length || back === undefined ? fifo : {front: toOldestFirst(back), offset: 0, back: undefined};
}

/** Removes the oldest item, if there is one. */
export function dequeue<Item>(fifo: Fifo<Item>): Readonly<{item: Item; rest: Fifo<Item>}> | undefined {
	const {front, offset, back} = normalize(fifo);
	const item = front[offset];
	return item === undefined ? undefined : {item, rest: {front, offset: offset + 1, back}};
}

function toOldestFirst<Item>(last: Link<Item>): readonly Item[] {
	const items: Item[] = [];
	for (let link: Link<Item> | undefined = last; link !== undefined; link = link.previous) {
		items.push(link.item);
	}

	return items.toReversed();
}
