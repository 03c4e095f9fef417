/**
Formats ascending indexes as ranges.

@example
```
formatRanges([0, 1, 2, 5]);
//=> '0-2,5'
```
*/
export function formatRanges(indexes: readonly number[]): string {
	const ranges: string[] = [];
	let first: number | undefined;
	for (const [position, index] of indexes.entries()) {
		first ??= index;
		if (indexes[position + 1] !== index + 1) {
			ranges.push(first === index ? String(index) : `${first}-${index}`);
			first = undefined;
		}
	}

	return ranges.join(',');
}

/**
Parses ranges; indexes from the limit on are left out.

@example
```
parseRanges('0-2,5', 10);
//=> [0, 1, 2, 5]
```
*/
export function parseRanges(text: string, limit: number): readonly number[] {
	return text === ''
		? []
		: text.split(',').flatMap(range => {
			const [first = 0, last = first] = range.split('-').map(Number);
			return Array.from({length: Math.max(0, Math.min(last + 1, limit) - first)}, (_, offset) => first + offset);
		});
}
