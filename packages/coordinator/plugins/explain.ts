import {assertNever, type Finding} from '#core';
import type {ForecastDecision, JobEstimate} from '#forecast';
import type {JobAdmission, JobSubmission} from '#jobs';
import {createServiceKey, type HttpReply} from '#kernel';
import {takeToken, type RateLimit, type RatePermit} from '#limits';
import {
	explainParametersSchema, type ExplainedAdmission, type ExplainedEstimate, type ExplainParameters, type ExplainResult,
} from '#protocol';
import {explainPlacement, findFreeKey} from '#scheduling';
import {entryCallTimeoutMilliseconds, explanationLimit} from '../constants.js';
import {coordinatorPlugins} from '../plugins.js';
import type {CoordinatorContext} from '../types.js';
import {admissionService} from './admission.js';
import {directoryService, findLeader} from './directory.js';
import {entryPeersService} from './entry-peers.js';
import {forecastService, type ForecastPreview} from './forecast.js';
import {schedulerService} from './scheduler.js';

/** Limits how often this entry explains a job. */
type ExplanationPermits = Readonly<{request(): RatePermit}>;

const explanationPermitsService = createServiceKey<ExplanationPermits>('explanation-permits');

coordinatorPlugins.register({
	kind: 'task',
	name: 'explanation-permits',
	start({services, clock}) {
		let limit: RateLimit = {tokens: explanationLimit.burst, at: clock.monotonic()};
		services.provide(explanationPermitsService, {
			request() {
				const taken = takeToken(limit, explanationLimit, clock.monotonic());
				limit = taken.limit;
				return taken.permit;
			},
		});
		return () => undefined;
	},
});

coordinatorPlugins.register({
	kind: 'rpc-method',
	name: 'entry.explain',
	parametersSchema: explainParametersSchema,
	handle: async (parameters, context) => explainWithinLimit(context, () => explainOwn(parameters as ExplainParameters, context)),
});

coordinatorPlugins.register({
	kind: 'http-route',
	name: 'explain',
	method: 'POST',
	path: '/v1/explain',
	bodySchema: explainParametersSchema,
	handle: async ({body}, context) => encodeResult(await explainWithinLimit(context, async () => explain(body as ExplainParameters, context))),
});

async function explainWithinLimit({services}: CoordinatorContext, perform: () => ExplainResult | Promise<ExplainResult>): Promise<ExplainResult> {
	const permit = services.use(explanationPermitsService).request();
	return permit.kind === 'granted' ? perform() : {kind: 'limited', retryAfterMilliseconds: permit.retryAfterMilliseconds};
}

/** Explains the job here, or asks the entry that schedules. */
async function explain(parameters: ExplainParameters, context: CoordinatorContext): Promise<ExplainResult> {
	const {services} = context;
	const own = explainOwn(parameters, context);
	if (own.kind !== 'not-scheduler') {
		return own;
	}

	const leader = findLeader(services.use(directoryService).read());
	const peer = leader === undefined ? undefined : services.use(entryPeersService).find(leader.value.entry);
	const reply = await peer?.call('entry.explain', parameters, entryCallTimeoutMilliseconds);
	return reply?.kind === 'answered' ? reply.result : {kind: 'not-scheduler'};
}

function explainOwn({queue: name, tenant, job}: ExplainParameters, {services, clock, settings}: CoordinatorContext): ExplainResult {
	const state = services.use(schedulerService).read();
	if (state?.isLoaded !== true || state.configuration === undefined) {
		return {kind: 'not-scheduler'};
	}

	const queue = state.configuration.queues.find(known => known.name === name);
	if (queue === undefined) {
		return {kind: 'unknown-queue'};
	}

	if (tenant !== undefined && !state.configuration.tenants.some(known => known.name === tenant)) {
		return {kind: 'unknown-team'};
	}

	const time = {now: clock.now(), monotonic: clock.monotonic()};
	const submission: JobSubmission = {
		job: findFreeKey(state), queue, tenant, submittedAt: time.now, request: job,
	};
	return {
		kind: 'explained',
		entry: settings.entry,
		admission: describeAdmission(services.use(admissionService).preview(submission), services.use(forecastService).preview(submission)),
		placement: explainPlacement(state, submission, time),
	};
}

/** Memory decides first, then the forecast, as for a submission. */
function describeAdmission(admission: JobAdmission, {decision, estimate: known}: ForecastPreview): ExplainedAdmission {
	const estimate = describeEstimate(known);
	switch (admission.kind) {
		case 'too-large': {
			return admission;
		}

		case 'refused': {
			return {
				kind: 'refused', reason: 'too-many-tasks', retryAfterMilliseconds: admission.retryAfterMilliseconds, estimate,
			};
		}

		case 'admitted': {
			return describeDecision(decision, estimate);
		}

		default: {
			return assertNever(admission);
		}
	}
}

function describeDecision(decision: ForecastDecision, estimate: ExplainedEstimate): ExplainedAdmission {
	switch (decision.kind) {
		case 'accept':
		case 'wait': {
			return {kind: 'admitted', reason: decision.reason, estimate};
		}

		case 'refuse': {
			return {
				kind: 'refused', reason: decision.reason, retryAfterMilliseconds: decision.retryAfterMilliseconds, estimate,
			};
		}

		default: {
			return assertNever(decision);
		}
	}
}

function describeEstimate(estimate: JobEstimate | undefined): ExplainedEstimate {
	if (estimate?.kind === 'estimated') {
		const {optimistic, usual} = estimate;
		return {kind: 'estimated', optimistic, usual};
	}

	return estimate ?? {kind: 'none'};
}

function encodeResult(result: ExplainResult): HttpReply {
	switch (result.kind) {
		case 'explained': {
			return {kind: 'json', status: 200, body: result};
		}

		case 'unknown-queue': {
			return encodeFinding({place: 'queue', message: 'is not configured'});
		}

		case 'unknown-team': {
			return encodeFinding({place: 'tenant', message: 'is not configured'});
		}

		case 'not-scheduler': {
			return {kind: 'problem', problem: {status: 503, reason: 'no-scheduler', title: 'No scheduler answers'}};
		}

		case 'limited': {
			return {
				kind: 'problem', problem: {
					status: 429, reason: 'too-many-explanations', title: 'An entry explains one job a second', retryAfterMilliseconds: result.retryAfterMilliseconds,
				},
			};
		}

		default: {
			return assertNever(result);
		}
	}
}

function encodeFinding(finding: Finding): HttpReply {
	return {
		kind: 'problem', problem: {
			status: 400, reason: 'invalid-request', title: 'Request is not valid', findings: [finding],
		},
	};
}
