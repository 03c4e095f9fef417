/* eslint camelcase: ['error', {properties: 'never'}] -- the platform's fields have their own spelling. */
/** What clients send, and what the platform knows of it: the needs of the work and how long it really takes. */

/** On another rack than that of its data, work takes this many times as long. */
const remoteFactor = 3;
const guaranteedAccelerators = 8;

/** Describes a step; fields whose value is 0, false or empty are left out on the wire. */
export function describeStep({
	count = 1, millicores, memoryMegabytes, accelerators = 0, estimatedMilliseconds, workMilliseconds = estimatedMilliseconds, isLasting = false, dataRack, requiredLabel, after = [],
}) {
	return {
		count,
		needs: {millicores, memoryMegabytes, accelerators},
		workMilliseconds,
		isLasting,
		dataRack,
		after,
		wire: {
			count,
			cpu: millicores,
			mem_mb: memoryMegabytes,
			...(accelerators === 0 ? {} : {gpus: accelerators}),
			estimate_ms: estimatedMilliseconds,
			...(requiredLabel === undefined ? {} : {requirements: requiredLabel}),
			...(after.length === 0 ? {} : {after}),
			...(isLasting ? {long_running: true} : {}),
			...(dataRack === undefined ? {} : {affinity: dataRack}),
		},
	};
}

/** Describes a job that runs several times. */
export function describeSchedule({times, firstAt, intervalMilliseconds}) {
	return {repeat_count: times, first_run_ms: firstAt, interval_ms: intervalMilliseconds};
}

/** Keeps the jobs that clients have sent. */
export function createJobs() {
	const jobs = new Map();
	const accepted = new Set();
	return {
		add(identifier, steps) {
			jobs.set(identifier, {identifier, steps});
		},
		noteAccepted(identifier) {
			accepted.add(identifier);
		},
		listAccepted: () => [...jobs.values()].filter(({identifier}) => accepted.has(identifier)),
		/** Needs and duration of a task on a worker of a rack; undefined if no client sent it. */
		findWork(task, rack) {
			const [job, , stepIndex, index] = task.split('.');
			const step = jobs.get(job)?.steps[Number(stepIndex)];
			if (step === undefined || Number(index) >= step.count) {
				return undefined;
			}

			const {needs, isLasting, dataRack, workMilliseconds} = step;
			return {needs, isLasting, milliseconds: dataRack === undefined || dataRack === rack ? workMilliseconds : workMilliseconds * remoteFactor};
		},
	};
}

/** The operator's manifest: one queue for each priority, and a tenant for each key, of which the first has a guarantee. */
export function createManifest({queueHost, apiKeys, service}) {
	const createRoute = (name, priority) => ({
		name, host: queueHost, prefix: `/${name}/`, service, priority, max_attempts: 3, stretch: 3, target_duration_ms: 3000, public: false,
	});
	return {
		version: 3,
		routes: [createRoute('urgent', 0), createRoute('usual', 1), createRoute('bulk', 2)],
		services: [{name: service, enforces_capacity: true}],
		tenants: apiKeys.map((apiKey, index) => ({name: `tenant-${index + 1}`, api_keys: [apiKey], ...(index === 0 ? {guaranteed: {gpus: guaranteedAccelerators}} : {})})),
		limits: {},
	};
}
