import {readFile} from 'node:fs/promises';

/** Clock ticks per second, the unit of processor time in `/proc` on Linux. */
const ticksPerSecond = 100;

/** Total processor time of a process, in seconds. */
export async function readProcessorSeconds(processId: number): Promise<number> {
	const text = await readFile(`/proc/${processId}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const userTicks = Number(fields[11]);
	const systemTicks = Number(fields[12]);
	return (userTicks + systemTicks) / ticksPerSecond;
}

/** Resident memory of a process, in megabytes. */
export async function readResidentMegabytes(processId: number): Promise<number> {
	const text = await readFile(`/proc/${processId}/status`, 'utf8');
	const kilobytes = /^VmRSS:\s+(\d+) kB/m.exec(text)?.[1];
	return Number(kilobytes) / 1024;
}
