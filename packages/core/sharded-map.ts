import {hashText} from './hash.js';

const defaultShardCount = 1024;

/** A read-only map divided into shards by key. An update copies only one shard, because a map may hold tens of thousands of values. */
export type ShardedMap<Value> = Readonly<{shards: ReadonlyArray<ReadonlyMap<string, Value>>; size: number}>;

export function createShardedMap<Value>(shardCount = defaultShardCount): ShardedMap<Value> {
	const empty: ReadonlyMap<string, Value> = new Map();
	return {shards: Array.from({length: shardCount}, () => empty), size: 0};
}

export function getValue<Value>({shards}: ShardedMap<Value>, key: string): Value | undefined {
	return shards[hashText(key) % shards.length]?.get(key);
}

export function withValue<Value>(map: ShardedMap<Value>, key: string, value: Value): ShardedMap<Value> {
	const shard = new Map(findShard(map, key)).set(key, value);
	return replaceShard(map, key, shard);
}

export function withoutValue<Value>(map: ShardedMap<Value>, key: string): ShardedMap<Value> {
	const shard = new Map(findShard(map, key));
	return shard.delete(key) ? replaceShard(map, key, shard) : map;
}

function findShard<Value>({shards}: ShardedMap<Value>, key: string): ReadonlyMap<string, Value> {
	return shards[hashText(key) % shards.length] ?? new Map<string, Value>();
}

function replaceShard<Value>(map: ShardedMap<Value>, key: string, shard: ReadonlyMap<string, Value>): ShardedMap<Value> {
	const difference = shard.size - findShard(map, key).size;
	return {shards: map.shards.with(hashText(key) % map.shards.length, shard), size: map.size + difference};
}
