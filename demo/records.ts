import {createHttpClient} from '#transport';
import type {ExecutionRecord} from '#stand-ins';
import type {Execution} from './types.js';
import type {FleetWorker} from './fleet.js';

const readTimeoutMilliseconds = 5000;

/** Reads the execution records of every worker. */
export async function readExecutions(workers: readonly FleetWorker[]): Promise<readonly Execution[]> {
	const lists = await Promise.all(workers.map(async ({name, origin}) => pairRecords(name, await readRecords(origin))));
	return lists.flat();
}

async function readRecords(origin: string): Promise<readonly ExecutionRecord[]> {
	const client = createHttpClient(origin, 1);
	const reply = await client.send('GET', '/records', {timeout: readTimeoutMilliseconds});
	await client.close();
	if (reply.kind === 'failed' || reply.status !== 200) {
		throw new Error(`worker at ${origin} did not return its execution records`);
	}

	return (reply.body as Readonly<{records: readonly ExecutionRecord[]}>).records;
}

/** Combines the start and end records of each task. */
export function pairRecords(worker: string, records: readonly ExecutionRecord[]): readonly Execution[] {
	const executions = new Map<string, Execution>();
	for (const {
		taskId, event, at, state, accelerators = [], hasCheckpoint = false,
	} of records) {
		const started = executions.get(taskId);
		if (event === 'started') {
			executions.set(taskId, {
				...parseTaskId(taskId), worker, accelerators, startedAt: at, endedAt: undefined, state: 'running', isResumed: hasCheckpoint, isCheckpointed: false,
			});
		} else if (event === 'ended' && started !== undefined) {
			executions.set(taskId, {
				...started, endedAt: at, state: state ?? 'stopped', isCheckpointed: hasCheckpoint,
			});
		}
	}

	return [...executions.values()];
}

/** Parses a task identifier: `gang/<job>/<attempt>/<member>` for a gang member, otherwise the identifier of a request. */
function parseTaskId(taskId: string): Pick<Execution, 'id' | 'attempt' | 'member'> {
	const [prefix, job, attempt, member] = taskId.split('/');
	return prefix === 'gang' && job !== undefined
		? {id: job, attempt: Number(attempt), member: Number(member)}
		: {id: taskId, attempt: 0, member: 0};
}
