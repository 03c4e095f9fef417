/**
Formats rows as columns of equal width; numbers are aligned to the right.

@example
```
formatTable(['plan', 'slots'], [['rosters', 8]]);
//=> 'plan     slots\nrosters      8'
```
*/
export function formatTable(headers: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const widths = headers.map((header, column) => Math.max(header.length, ...rows.map(row => String(row[column] ?? '').length)));
	const isNumeric = headers.map((_, column) => rows.length > 0 && rows.every(row => typeof row[column] === 'number'));
	const format = (row: ReadonlyArray<string | number>) => row
		.map((cell, column) => isNumeric[column] ? String(cell).padStart(widths[column] ?? 0) : String(cell).padEnd(widths[column] ?? 0))
		.join('  ')
		.trimEnd();
	return [headers, ...rows].map(format).join('\n');
}
