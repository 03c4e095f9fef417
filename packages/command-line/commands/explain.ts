import * as valibot from 'valibot';
import {assertNever, checkInput, parseJson} from '#core';
import {maximumRequestCharacters} from '#jobs';
import {
	explainParametersSchema, explanationResponseSchema, type ExplainedAdmission, type ExplainedEstimate, type Explanation, type ExplainParameters,
} from '#protocol';
import {requireArgument} from '../arguments.js';
import {callEntry} from '../call-entry.js';
import {exitCodeDone} from '../constants.js';
import {BadInputError, formatFinding, UnavailableError} from '../errors.js';
import {commandPlugins} from '../plugins.js';
import {formatTable} from '../table.js';

/** Queue, team, white space and line breaks beside the job. */
const maximumFileCharacters = 2 * maximumRequestCharacters;

const problemSchema = valibot.looseObject({
	title: valibot.string(),
	findings: valibot.optional(valibot.array(valibot.looseObject({place: valibot.string(), message: valibot.string()})), []),
	retryAfterMilliseconds: valibot.optional(valibot.number()),
});

commandPlugins.register({
	kind: 'command',
	name: 'explain [file]',
	description: 'Show where the job in a file would go now, and why, without submitting it',
	options: [],
	async perform(commandArguments, _options, context) {
		const file = requireArgument(commandArguments, 0, 'file');
		const parameters = readParameters(file, await context.readFile(file));
		const origin = context.useEntryOrigin();
		const result = await callEntry(origin, 'POST', '/v1/explain', parameters);
		if (result.kind === 'failed') {
			throw new UnavailableError(`entry ${origin}`, result.message);
		}

		if (result.status !== 200) {
			throw createError(result, origin, file);
		}

		const decoded = valibot.safeParse(explanationResponseSchema, result.body);
		if (!decoded.success) {
			throw new UnavailableError(`entry ${origin}`, 'it did not return a valid explanation');
		}

		context.print(context.isJson ? JSON.stringify(decoded.output) : formatExplanation(decoded.output));
		return exitCodeDone;
	},
});

function readParameters(file: string, text: string): ExplainParameters {
	if (text.length > maximumFileCharacters) {
		throw new BadInputError([`${file}: must take at most ${maximumFileCharacters} characters`]);
	}

	let input: unknown;
	try {
		input = parseJson(text);
	} catch (error) {
		throw new BadInputError([`${file}: is not JSON: ${error instanceof Error ? error.message : String(error)}`]);
	}

	const checked = checkInput(explainParametersSchema, input, 'file');
	if (checked.kind === 'invalid') {
		throw new BadInputError(checked.findings.map(finding => `${file}: ${formatFinding(finding)}`));
	}

	return checked.value;
}

function createError({status, body}: Readonly<{status: number; body: unknown}>, origin: string, file: string): Error {
	const decoded = valibot.safeParse(problemSchema, body);
	if (!decoded.success) {
		return new UnavailableError(`entry ${origin}`, `it answered ${status}`);
	}

	const {title, findings, retryAfterMilliseconds} = decoded.output;
	if (status === 400 && findings.length > 0) {
		return new BadInputError(findings.map(finding => `${file}: ${formatFinding(finding)}`));
	}

	return new UnavailableError('explanation', retryAfterMilliseconds === undefined ? title : `${title}; try again in ${formatSeconds(retryAfterMilliseconds)}`);
}

function formatExplanation({entry, admission, placement: {steps, listed, snapshot}}: Explanation): string {
	const {configurationVersion, zonesRevision, workers, oldestReportMilliseconds, newestReportMilliseconds} = snapshot;
	const ages = oldestReportMilliseconds === undefined || newestReportMilliseconds === undefined
		? ''
		: `, reported ${formatSeconds(newestReportMilliseconds)} to ${formatSeconds(oldestReportMilliseconds)} ago`;
	return [
		...formatAdmission(admission),
		...(steps === 0 ? ['no step may start now'] : []),
		...listed.flatMap(step => ['', ...formatStep(step)]),
		...(steps > listed.length ? [`${steps - listed.length} further steps are not listed`] : []),
		'',
		`scheduler ${entry}: ${workers} workers${ages}; configuration ${configurationVersion}, closed zones of revision ${zonesRevision}`,
	].join('\n');
}

function formatAdmission(admission: ExplainedAdmission): readonly string[] {
	switch (admission.kind) {
		case 'admitted': {
			return [`would be admitted (${admission.reason})`, ...formatEstimate(admission.estimate)];
		}

		case 'refused': {
			return [
				`would be refused (${admission.reason}); retry after ${formatSeconds(admission.retryAfterMilliseconds)}`,
				...formatEstimate(admission.estimate),
				'the steps are shown as if it were admitted',
			];
		}

		case 'too-large': {
			return [`would be refused as invalid: must have at most about ${admission.maximumTasks} tasks that are due at the same time`];
		}

		default: {
			return assertNever(admission);
		}
	}
}

function formatEstimate(estimate: ExplainedEstimate): readonly string[] {
	switch (estimate.kind) {
		case 'none': {
			return ['expected wait: not estimated'];
		}

		case 'unknown': {
			return [`expected wait: unknown (${estimate.reason})`];
		}

		case 'estimated': {
			const {usual, optimistic} = estimate;
			return [`expected wait: ${formatSeconds(usual.start)} (at best ${formatSeconds(optimistic.start)}), end in ${formatSeconds(usual.end)}`];
		}

		default: {
			return assertNever(estimate);
		}
	}
}

type Step = Explanation['placement']['listed'][number];

function formatStep({occurrence, step, tasks, rank, starting, starts, wait, passedOver}: Step): readonly string[] {
	const further = starting - starts.reduce((total, started) => total + started.tasks, 0);
	const workers = starts.map(started => `${started.worker} (${started.tasks})`).join(', ');
	return [
		`step ${step}, occurrence ${occurrence}: ${tasks} tasks of rank ${rank}`,
		...(starting === 0 ? [] : [`  ${starting} start now on ${workers}${further > 0 ? ` and other workers (${further})` : ''}`]),
		...formatWait(wait),
		...formatPassedOver(passedOver),
	];
}

function formatPassedOver(passedOver: Step['passedOver']): readonly string[] {
	return passedOver.length === 0
		? []
		: formatTable(['passed over', 'workers', 'examples'], passedOver.map(({reason, workers, examples}) => [reason, workers, examples.join(', ')])).split('\n').map(line => `  ${line}`);
}

function formatWait(wait: Step['wait']): readonly string[] {
	switch (wait.kind) {
		case 'none': {
			return [];
		}

		case 'waits': {
			return [`  ${wait.tasks} wait (${wait.reason})`];
		}

		case 'stops-runs': {
			return [`  ${wait.tasks} wait until ${wait.runs} runs are stopped: ${wait.examples.join(', ')}${wait.runs > wait.examples.length ? ', ...' : ''}`];
		}

		default: {
			return assertNever(wait);
		}
	}
}

function formatSeconds(milliseconds: number): string {
	return `${(milliseconds / 1000).toFixed(1)} s`;
}
