import {checkInput, type CheckResult} from '#core';
import {
	jobKeySchema, type JobKey, type Queue, type SchedulingConfiguration, type Tenant,
} from './types.js';

/** Finds the queue for a host and path; the longest matching prefix wins. */
export function findQueue({queues}: SchedulingConfiguration, host: string, path: string): Queue | undefined {
	let found: Queue | undefined;
	for (const queue of queues) {
		const isLonger = found === undefined || queue.pathPrefix.length > found.pathPrefix.length;
		if (queue.host === host && path.startsWith(queue.pathPrefix) && isLonger) {
			found = queue;
		}
	}

	return found;
}

/** Parses the job key from the part of a path after the queue's prefix. */
export function parseJobKey(queue: Queue, path: string): CheckResult<JobKey> {
	return checkInput(jobKeySchema, path.slice(queue.pathPrefix.length), 'job');
}

/** Finds the tenant that holds an API key. */
export function findTenant({tenants}: SchedulingConfiguration, apiKey: string): Tenant | undefined {
	return tenants.find(({apiKeys}) => apiKeys.includes(apiKey));
}

/** Whether a configuration replaces the current one; versions never decrease. */
export function isNewerConfiguration(candidate: SchedulingConfiguration, current: SchedulingConfiguration | undefined): boolean {
	return current === undefined || candidate.version > current.version;
}
