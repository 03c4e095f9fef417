import {checkInput, type Checked} from '#core';
import {
	jobKeySchema, type JobKey, type Queue, type SchedulingConfiguration, type Tenant,
} from './types.js';

/** Finds the queue of a host and path; the longest matching prefix wins. */
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

/** Reads the job from the part of a path after the queue's prefix. */
export function parseJobKey(queue: Queue, path: string): Checked<JobKey> {
	return checkInput(jobKeySchema, path.slice(queue.pathPrefix.length), 'job');
}

/** Finds the tenant that holds an API key. */
export function findTenant({tenants}: SchedulingConfiguration, apiKey: string): Tenant | undefined {
	return tenants.find(({apiKeys}) => apiKeys.includes(apiKey));
}

/** Whether a configuration replaces the present one; versions never go back. */
export function isNewerConfiguration(candidate: SchedulingConfiguration, present: SchedulingConfiguration | undefined): boolean {
	return present === undefined || candidate.version > present.version;
}
