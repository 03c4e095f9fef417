/** Groups values by key, in order of first appearance. */
export function groupBy<Key, Value>(values: Iterable<Value>, keyOf: (value: Value) => Key): ReadonlyMap<Key, readonly Value[]> {
	const groups = new Map<Key, Value[]>();
	for (const value of values) {
		const key = keyOf(value);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [value]);
		} else {
			group.push(value);
		}
	}

	return groups;
}
