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
	/** The caller submitted the identifier before. */
	retry: valibot.optional(valibot.boolean(), false),
});

entryPlugins.register({
	kind: 'http-route',
	name: 'submit-job',
	summary: 'Records a job; the same identifier again returns its present state',
	method: 'POST',
	path: '/v1/jobs',
	bodySchema: submissionSchema,
	async handle({body}, context) {
		const {retry, ...work} = body as JobWork & Readonly<{retry: boolean}>;
		const reply = await submitJob(work, context);
		return retry ? withoutPromise(reply) : reply;
	},
});

/** The earlier submission may have been recorded through another entry, so a refusal of the retry does not say that the job did not run. */
function withoutPromise(reply: HttpReply): HttpReply {
	return reply.kind === 'problem'
		? {...reply, problem: {...reply.problem, extensions: {...reply.problem.extensions, outcome: 'unknown'}}}
		: reply;
}

async function submitJob(work: JobWork, context: EntryContext): Promise<HttpReply> {
	const known = context.services.use(jobsService).find(work.jobId);
	if (known !== undefined) {
		return answerKnown(work, known.read().record);
	}

	const refusal = findRefusal(work, context);
	if (refusal !== undefined) {
		return refusal;
	}

	const {settings: {entry: owner, zone}, services, clock} = context;
	const store = services.use(storeService);
	const marked = await writeSurely(async () => store.write(formatOwnershipKey({zone, owner, job: work.jobId}), {cancelRequested: false}, {expectedVersion: 0}));
	if (marked.kind === 'unavailable' || marked.kind === 'lease-unknown') {
		return refuse(503, 'store-unavailable', 'The job could not be recorded');
	}

	const record = createJobRecord(work, {owner, zone}, clock.now());
	const written = await writeSurely(async () => store.write(jobKey(work.jobId), record, {expectedVersion: 0}));
	switch (written.kind) {
		case 'written': {
			return accept(record, written.version, context);
		}

		case 'conflict': {
			return answerStored(work, record, written.current, context);
		}

		case 'lease-unknown':
		case 'unavailable': {
			const isUncertain = written.kind === 'unavailable' && written.effect === 'perhaps-applied';
			return refuse(503, 'store-unavailable', 'The job could not be recorded', isUncertain ? 'unknown' : 'not-run');
		}
	}
}

/** Repeats a write whose answer was lost: if it took effect, the repetition meets its own value. */
async function writeSurely(write: () => Promise<WriteReply>): Promise<WriteReply> {
	let reply = await write();
	let isUncertain = false;
	for (let attempt = 1; reply.kind === 'unavailable' && reply.effect === 'perhaps-applied' && attempt < maximumWriteAttempts; attempt++) {
		isUncertain = true;
		reply = await write();
	}

	return reply.kind === 'unavailable' && isUncertain ? {...reply, effect: 'perhaps-applied'} : reply;
}

function accept(record: JobRecord, version: number, {services}: EntryContext): HttpReply {
	const driver = services.use(jobsService).startDriver(record, version);
	return {
		kind: 'json', status: 202, body: describeJob(driver.read().record), headers: {location: `/v1/jobs/${record.work.jobId}`},
	};
}

function answerStored(work: JobWork, record: JobRecord, current: StoredValue | undefined, context: EntryContext): HttpReply {
	const checked = checkInput(jobRecordSchema, current?.value);
	if (current === undefined || checked.kind === 'invalid') {
		return refuse(503, 'store-unavailable', 'The job could not be recorded', 'unknown');
	}

	const {owner, term, submittedAt, writeId} = checked.value;
	const isOwn = owner === record.owner && term === record.term && submittedAt === record.submittedAt && writeId === record.writeId;
	const driver = context.services.use(jobsService).find(work.jobId);
	return isOwn && driver === undefined
		? accept(checked.value, current.version, context)
		: answerKnown(work, checked.value);
}

/** The same job again: its present state, and never a second job. */
function answerKnown(work: JobWork, record: JobRecord): HttpReply {
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
		return refuse(422, 'deadline-unreachable', 'The result would be worth nothing any more');
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
