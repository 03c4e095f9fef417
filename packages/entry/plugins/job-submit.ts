import {isDeepStrictEqual} from 'node:util';
import * as valibot from 'valibot';
import {
	checkInput, jobWorkSchema, type JobWork, type RefusalReason,
} from '#core';
import type {HttpReply} from '#kernel';
import {placeGang} from '#placement';
import {
	createJobRecord, describeJob, jobKey, jobRecordSchema, type JobRecord,
} from '#recovery';
import type {StoredValue, WriteReply} from '#store';
import {maximumWriteAttempts} from '../jobs/constants.js';
import {formatOwnershipKey} from '../jobs/ownership.js';
import {jobsService} from '../jobs/service.js';
import {entryPlugins} from '../plugins.js';
import type {EntryContext} from '../types.js';
import {layoutService} from './layout-task.js';
import {storeService} from './store.js';
import {configurationService} from './watch-configuration.js';

const submissionSchema = valibot.object({
	...jobWorkSchema.entries,
	/** Whether the caller has submitted the identifier before. */
	retry: valibot.optional(valibot.boolean(), false),
});

entryPlugins.register({
	kind: 'http-route',
	name: 'submit-job',
	summary: 'Records a job; the same identifier again returns its current state',
	method: 'POST',
	path: '/v1/jobs',
	bodySchema: submissionSchema,
	async handle({body}, context) {
		const {retry, ...work} = body as JobWork & Readonly<{retry: boolean}>;
		const reply = await submitJob(work, context);
		return retry ? withUnknownOutcome(reply) : reply;
	},
});

/** Reports an unknown outcome: another entry may have recorded the earlier submission, so a refused retry does not prove that the job did not run. */
function withUnknownOutcome(reply: HttpReply): HttpReply {
	return reply.kind === 'problem'
		? {...reply, problem: {...reply.problem, extensions: {...reply.problem.extensions, outcome: 'unknown'}}}
		: reply;
}

async function submitJob(work: JobWork, context: EntryContext): Promise<HttpReply> {
	const driver = context.services.use(jobsService).find(work.jobId);
	if (driver !== undefined) {
		return answerExisting(work, driver.read().record);
	}

	const refusal = findRefusal(work, context);
	if (refusal !== undefined) {
		return refusal;
	}

	const {settings: {entry: owner, zone}, services, clock} = context;
	const store = services.use(storeService);
	const marker = await writeWithRetries(async () => store.write(formatOwnershipKey({zone, owner, job: work.jobId}), {cancelRequested: false}, {expectedVersion: 0}));
	if (marker.kind === 'unavailable' || marker.kind === 'lease-unknown') {
		return refuse(503, 'store-unavailable', 'The job could not be recorded');
	}

	const record = createJobRecord(work, {owner, zone}, clock.now());
	const written = await writeWithRetries(async () => store.write(jobKey(work.jobId), record, {expectedVersion: 0}));
	switch (written.kind) {
		case 'written': {
			return startDriver(record, written.version, context);
		}

		case 'conflict': {
			return answerConflict(work, record, written.current, context);
		}

		case 'lease-unknown':
		case 'unavailable': {
			const isUncertain = written.kind === 'unavailable' && written.effect === 'perhaps-applied';
			return refuse(503, 'store-unavailable', 'The job could not be recorded', isUncertain ? 'unknown' : 'not-run');
		}
	}
}

/** Retries a write whose answer was lost; if it was applied, the retry conflicts with its own value. */
async function writeWithRetries(write: () => Promise<WriteReply>): Promise<WriteReply> {
	let reply = await write();
	let isUncertain = false;
	for (let attempt = 1; reply.kind === 'unavailable' && reply.effect === 'perhaps-applied' && attempt < maximumWriteAttempts; attempt++) {
		isUncertain = true;
		reply = await write();
	}

	return reply.kind === 'unavailable' && isUncertain ? {...reply, effect: 'perhaps-applied'} : reply;
}

function startDriver(record: JobRecord, version: number, {services}: EntryContext): HttpReply {
	const driver = services.use(jobsService).startDriver(record, version);
	return {
		kind: 'json', status: 202, body: describeJob(driver.read().record), headers: {location: `/v1/jobs/${record.work.jobId}`},
	};
}

function answerConflict(work: JobWork, record: JobRecord, current: StoredValue | undefined, context: EntryContext): HttpReply {
	const checked = checkInput(jobRecordSchema, current?.value);
	if (current === undefined || checked.kind === 'invalid') {
		return refuse(503, 'store-unavailable', 'The job could not be recorded', 'unknown');
	}

	const {owner, term, submittedAt, writeId} = checked.value;
	const isOwn = owner === record.owner && term === record.term && submittedAt === record.submittedAt && writeId === record.writeId;
	const driver = context.services.use(jobsService).find(work.jobId);
	return isOwn && driver === undefined
		? startDriver(checked.value, current.version, context)
		: answerExisting(work, checked.value);
}

/** Answers a repeated submission with the current state of the job; a different job with the same identifier is refused. */
function answerExisting(work: JobWork, record: JobRecord): HttpReply {
	return isDeepStrictEqual(work, record.work)
		? {
			kind: 'json', status: 200, body: describeJob(record), headers: {location: `/v1/jobs/${work.jobId}`},
		}
		: refuse(409, 'identifier-reused', 'Another job has this identifier');
}

function findRefusal(work: JobWork, {services, clock}: EntryContext): HttpReply | undefined {
	const configuration = services.use(configurationService).read().current;
	if (configuration === undefined) {
		return refuse(503, 'no-configuration', 'No configuration has been read yet');
	}

	if (!configuration.plans.some(({name}) => name === work.plan)) {
		return refuse(403, 'unknown-plan', `Plan ${work.plan} does not exist`);
	}

	const {members, acceleratorsPerMember} = work.gang;
	const maximum = configuration.allowances.find(({plan}) => plan === work.plan)?.maximumAccelerators ?? 0;
	if (members * acceleratorsPerMember > maximum) {
		return refuse(422, 'impossible-shape', `The gang needs ${members * acceleratorsPerMember} accelerators, and the plan may use ${maximum}`);
	}

	if (work.latestUsefulAt !== undefined && work.latestUsefulAt <= clock.now()) {
		return refuse(422, 'deadline-unreachable', 'The latest useful time of the job has passed');
	}

	const placement = placeGang(services.use(layoutService).buildZoneView(), {
		job: work.jobId, plan: work.plan, shape: work.gang, preemptible: work.preemptible, submittedAt: clock.now(),
	});
	return placement.kind === 'impossible' ? refuse(422, 'impossible-shape', placement.detail) : undefined;
}

function refuse(status: number, reason: RefusalReason, title: string, outcome: 'not-run' | 'unknown' = 'not-run'): HttpReply {
	return {
		kind: 'problem', problem: {
			status, reason, title, extensions: {outcome},
		},
	};
}
