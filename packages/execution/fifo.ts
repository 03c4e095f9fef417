type Link<Item> = Readonly<{item: Item; previous: Link<Item> | undefined}>;

/** A read-only first-in-first-out list that shares its parts with its successors; both ends take constant time on average. */
export type Fifo<Item> = Readonly<{front: readonly Item[]; offset: number; back: Link<Item> | undefined}>;

export const emptyFifo: Fifo<never> = {front: [], offset: 0, back: undefined};

export function enqueue<Item>(fifo: Fifo<Item>, item: Item): Fifo<Item> {
	return {...fifo, back: {item, previous: fifo.back}};
}

/** Orders the items so that the oldest can be taken at once. The result replaces the list, or the work is done again for each look. */
export function normalize<Item>(fifo: Fifo<Item>): Fifo<Item> {
	const {front, offset, back} = fifo;
	return offset < front.length || back === undefined ? fifo : {front: toOldestFirst(back), offset: 0, back: undefined};
}

/** Takes the oldest item, if there is one. */
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
