import type {MonotonicTime} from '#core';
import {
	findQueue, findTenant, parseJobKey, type JobSubmission, type Queue, type SchedulingConfiguration, type Tenant,
} from '#jobs';
import {createServiceKey} from '#kernel';
import {
	forwardedCallSchema, type CallerAnswer, type CallerRequest, type ForwardedAnswer, type ForwardedCall,
} from '#protocol';
import {findAnswerBasis, findUpToDateEntry} from '../configuration-state.js';
import {forwardCall} from '../callers/forward.js';
import {computeProcessingTime} from '../callers/processing-time.js';
import {coordinatorPlugins} from '../plugins.js';
import {storeMonitorService} from '../ports.js';
import {showPending} from '../callers/pending.js';
import {showJob} from '../callers/show.js';
import {cancelJob} from '../callers/cancel.js';
import {configurationOutdatedAnswer, noConfigurationAnswer, storeUnavailableAnswer} from '../callers/unavailable.js';
import {submitWithinBudget} from '../callers/submit-within-budget.js';
import type {CoordinatorContext} from '../types.js';
import {configurationService} from './configuration.js';
import {entryPeersService} from './entry-peers.js';
import {undecidedService} from './undecided.js';

/** Answers callers; a front end decodes their requests and encodes the answers. */
export type Callers = Readonly<{answer(call: CallerRequest): Promise<CallerAnswer>}>;

export const callersService = createServiceKey<Callers>('callers');

coordinatorPlugins.register({
	kind: 'task',
	name: 'callers',
	start(context) {
		context.services.provide(callersService, {
			async answer(call) {
				const startedAt = context.clock.monotonic();
				const answer = await answerInTime(call, context);
				const elapsed = context.clock.monotonic() - startedAt;
				context.counters.recordLatency(`caller-${call.action.kind}`, elapsed);
				logAnswer(call, answer, elapsed, context);
				return answer;
			},
		});
		return () => undefined;
	},
});

coordinatorPlugins.register({
	kind: 'rpc-method',
	name: 'entry.call',
	parametersSchema: forwardedCallSchema,
	handle: async (parameters, context) => answerForwardedCall(parameters as ForwardedCall, context),
});

/** Answers a caller of another entry, by the version that this caller may see. */
async function answerForwardedCall({configurationVersion, ...call}: ForwardedCall, context: CoordinatorContext): Promise<ForwardedAnswer> {
	const {current} = context.services.use(configurationService).read();
	return configurationVersion === undefined || current === undefined || current.version === configurationVersion
		? answerLocally(call, context.clock.monotonic() + computeProcessingTime(call.timeoutMilliseconds), context)
		: {kind: 'other-configuration', version: current.version};
}

function logAnswer({path, action}: CallerRequest, answer: CallerAnswer, elapsed: number, {log, counters, services}: CoordinatorContext): void {
	const fields = {
		path, action: action.kind, answer: answer.kind, milliseconds: Math.round(elapsed), configuration: services.use(configurationService).read().current?.version ?? 0,
	};
	switch (answer.kind) {
		case 'accepted':
		case 'cancelled': {
			log.withPrefix('callers').info(fields, 'request answered');
			break;
		}

		case 'state':
		case 'pending': {
			log.withPrefix('callers').debug({...fields, ...answer}, 'request answered');
			break;
		}

		case 'absent':
		case 'withdrawn':
		case 'unknown-queue':
		case 'unauthorized':
		case 'invalid': {
			counters.countRefusal(answer.kind);
			log.withPrefix('callers').info({...fields, ...answer}, 'request refused');
			break;
		}

		case 'refused':
		case 'undecided': {
			counters.countRefusal(answer.reason);
			log.withPrefix('callers').warn({...fields, ...answer}, 'request not served');
		}
	}
}

/** Answers before the caller's timeout. What was begun continues after that, and a repeated request sees its outcome; nothing further is begun. */
async function answerInTime(call: CallerRequest, context: CoordinatorContext): Promise<CallerAnswer> {
	const timeout = computeProcessingTime(call.timeoutMilliseconds);
	const deadline = context.clock.monotonic() + timeout;
	let cancelTimeout = () => undefined as void;
	const timedOut = new Promise<CallerAnswer>(resolve => {
		cancelTimeout = context.clock.schedule(timeout, () => {
			resolve({kind: 'undecided', reason: 'no answer in time'});
		});
	});
	const answer = await Promise.race([answerOrForward(call, deadline, context), timedOut]);
	cancelTimeout();
	return call.action.kind === 'submit' ? withholdUncertainRefusal(answer, call.path, context) : answer;
}

/** A refusal says that the job never runs, which would be wrong if an earlier submission was stored although its reply was lost. */
function withholdUncertainRefusal(answer: CallerAnswer, path: string, {services}: CoordinatorContext): CallerAnswer {
	const undecided = services.use(undecidedService);
	if (answer.kind === 'undecided') {
		undecided.add({path, age: 0});
		return answer;
	}

	return answer.kind === 'refused' && undecided.has(path) ? {kind: 'undecided', reason: 'an earlier attempt may have been stored'} : answer;
}

/** Forwards the call to other entries if this one cannot reach the store, or is too far behind with its configuration. */
async function answerOrForward(call: CallerRequest, deadline: MonotonicTime, context: CoordinatorContext): Promise<CallerAnswer> {
	const {services, clock} = context;
	const peers = services.use(entryPeersService);
	const upToDate = findUpToDateEntry(services.use(configurationService).read(), clock.monotonic());
	const upToDatePeer = upToDate === undefined ? undefined : peers.findByAddress(upToDate);
	const answerOfPeer = upToDatePeer === undefined ? undefined : await forwardCall(call, {peers: [upToDatePeer], maximum: 1, deadline}, context);
	if (answerOfPeer !== undefined) {
		return answerOfPeer;
	}

	const answer = services.use(storeMonitorService).isFailing() && peers.list().length > 0 ? storeUnavailableAnswer : await answerLocally(call, deadline, context);
	const others = {
		peers: peers.list().filter(peer => peer !== upToDatePeer), maximum: upToDatePeer === undefined ? maximumForwards : maximumForwards - 1, deadline,
	};
	const forwarded = mayBeServedElsewhere(answer) ? await forwardCall(call, others, context) : undefined;
	return forwarded ?? answer;
}

/** Maximum number of entries that are tried in turn; each takes up to a third of a caller's usual timeout. */
const maximumForwards = 2;

/** Whether another entry may serve a call that this one answered so. An entry without any configuration leaves its callers to the load balancer, and what exceeds a limit is refused at once. */
function mayBeServedElsewhere(answer: CallerAnswer): boolean {
	return answer.kind === 'undecided' || (answer.kind === 'refused' && reasonsOfOneEntry.has(answer.reason));
}

/** Refusals that concern this entry only. */
const reasonsOfOneEntry: ReadonlySet<string> = new Set(['store-unavailable', 'configuration-outdated']);

async function answerLocally(call: CallerRequest, deadline: MonotonicTime, context: CoordinatorContext): Promise<CallerAnswer> {
	const basis = findAnswerBasis(context.services.use(configurationService).read());
	switch (basis.kind) {
		case 'no-configuration': {
			return noConfigurationAnswer;
		}

		case 'outdated': {
			return configurationOutdatedAnswer;
		}

		case 'current': {
			return answerBy(basis.configuration, call, deadline, context);
		}
	}
}

async function answerBy(configuration: SchedulingConfiguration, call: CallerRequest, deadline: MonotonicTime, context: CoordinatorContext): Promise<CallerAnswer> {
	const queue = findQueue(configuration, call.host, call.path);
	if (queue === undefined) {
		return {kind: 'unknown-queue'};
	}

	const tenant = call.apiKey === undefined ? undefined : findTenant(configuration, call.apiKey);
	if (tenant === undefined && !queue.isPublic) {
		return {kind: 'unauthorized'};
	}

	return perform(call, {queue, tenant, deadline}, context);
}

/** What the configuration says of a call, and until when it is processed. */
type CallBasis = Readonly<{queue: Queue; tenant: Tenant | undefined; deadline: MonotonicTime}>;

async function perform(call: CallerRequest, {queue, tenant, deadline}: CallBasis, context: CoordinatorContext): Promise<CallerAnswer> {
	if (call.action.kind === 'show' && call.path.length <= queue.pathPrefix.length) {
		return showPending(queue.name, context);
	}

	const job = parseJobKey(queue, call.path);
	if (job.kind === 'invalid') {
		return call.action.kind === 'submit' ? job : {kind: 'absent'};
	}

	switch (call.action.kind) {
		case 'submit': {
			const submission: JobSubmission = {
				job: job.value, queue, ...(tenant === undefined ? {} : {tenant: tenant.name}), submittedAt: context.clock.now(), request: call.action.request,
			};
			return submitWithinBudget(submission, deadline, context);
		}

		case 'show': {
			return showJob(job.value, context);
		}

		case 'cancel': {
			return cancelJob(job.value, deadline, context);
		}
	}
}
