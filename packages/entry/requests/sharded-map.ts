import {hashText} from '#core';

/** A read-only map split by key, so that a change copies one small part only. */
export type ShardedMap<Value> = Readonly<{size: number; shards: ReadonlyArray<ReadonlyMap<string, Value> | undefined>}>;

const shardCount = 256;

export const emptyShardedMap: ShardedMap<never> = {size: 0, shards: Array.from({length: shardCount}, () => undefined)};

export function readSharded<Value>(map: ShardedMap<Value>, key: string): Value | undefined {
	return map.shards[hashText(key) % shardCount]?.get(key);
}

export function setSharded<Value>(map: ShardedMap<Value>, key: string, value: Value): ShardedMap<Value> {
	const index = hashText(key) % shardCount;
	const present = map.shards[index];
	return {
		size: map.size + (present?.has(key) === true ? 0 : 1),
		shards: map.shards.with(index, new Map(present).set(key, value)),
	};
}

export function removeSharded<Value>(map: ShardedMap<Value>, key: string): ShardedMap<Value> {
	const index = hashText(key) % shardCount;
	const present = map.shards[index];
	if (present?.has(key) !== true) {
		return map;
	}

	const next = new Map(present);
	next.delete(key);
	return {size: map.size - 1, shards: map.shards.with(index, next)};
}
