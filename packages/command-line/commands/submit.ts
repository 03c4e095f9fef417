import {parse} from 'yaml';
import * as valibot from 'valibot';
import {createClient, type SubmissionOutcome} from '#client';
import {
	assertNever, checkInput, jobIdSchema, jobWorkSchema, requestIdSchema, requestWorkSchema,
} from '#core';
import {requireArgument} from '../arguments.js';
import {
	exitCodeBadInput, exitCodeDone, exitCodeFailure, exitCodeUnavailable, exitCodeUnknown,
} from '../constants.js';
import {BadInputError, formatFinding} from '../errors.js';
import {commandPlugins} from '../plugins.js';
import type {CommandContext} from '../types.js';

const requestSchema = valibot.strictObject({...requestWorkSchema.entries, requestId: valibot.optional(requestIdSchema)});
const jobSchema = valibot.strictObject({...jobWorkSchema.entries, jobId: valibot.optional(jobIdSchema)});

commandPlugins.register({
	kind: 'command',
	name: 'submit [file]',
	description: 'Submit the request or job in a file (a job has a `gang`); waits for the result of a request',
	options: [
		{flag: '--id', description: 'Identifier; a new UUID of version 7 if neither the flag nor the file names one'},
		{flag: '--retry', description: 'The identifier was submitted before', default: false},
	],
	async perform(commandArguments, options, context) {
		const file = requireArgument(commandArguments, 0, 'file');
		const work = readWork(file, await context.readFile(file));
		const isRetry = options['retry'] === true;
		const client = createClient({origins: [context.useEntryOrigin()], clock: context.clock, random: context.random});
		try {
			if ('gang' in work) {
				const submission = readId(jobSchema, work, {...options, key: 'jobId'}, file);
				return report(await client.submitJob(submission, {isRetry}), context);
			}

			const submission = readId(requestSchema, work, {...options, key: 'requestId'}, file);
			const outcome = await client.submitRequest(submission, {isRetry});
			const exitCode = report(outcome, context);
			return outcome.kind === 'completed' && outcome.value.status === 'failed' ? exitCodeFailure : exitCode;
		} finally {
			await client.close();
		}
	},
});

function readWork(file: string, text: string): Readonly<Record<string, unknown>> {
	let work: unknown;
	try {
		work = parse(text);
	} catch (error) {
		throw new BadInputError([`${file}: ${String(error).split('\n')[0]}`]);
	}

	if (typeof work !== 'object' || work === null || Array.isArray(work)) {
		throw new BadInputError([`${file}: must hold one request or job`]);
	}

	return work as Readonly<Record<string, unknown>>;
}

type IdOptions = Readonly<{key: 'requestId' | 'jobId'; id?: unknown}>;

function readId<Schema extends valibot.GenericSchema>(schema: Schema, work: Readonly<Record<string, unknown>>, {key, id}: IdOptions, file: string): valibot.InferOutput<Schema> {
	const checked = checkInput(schema, typeof id === 'string' ? {...work, [key]: id} : work, 'work');
	if (checked.kind === 'invalid') {
		throw new BadInputError(checked.findings.map(finding => `${file}: ${formatFinding(finding)}`));
	}

	return checked.value;
}

function report(outcome: SubmissionOutcome<unknown>, context: CommandContext): number {
	if (context.isJson) {
		context.print(JSON.stringify(outcome));
	}

	switch (outcome.kind) {
		case 'completed': {
			if (!context.isJson) {
				context.print(`${outcome.id}: completed\n${JSON.stringify(outcome.value, undefined, 2)}`);
			}

			return exitCodeDone;
		}

		case 'not-run': {
			context.printError([`${outcome.id}: not run (${outcome.reason})`, ...outcome.findings.map(finding => formatFinding(finding))].join('\n'));
			return outcome.reason === 'invalid-request' ? exitCodeBadInput : (outcome.reason === 'connection-lost' ? exitCodeUnavailable : exitCodeFailure);
		}

		case 'unknown': {
			context.printError(`${outcome.id}: it is not known whether it ran (${outcome.reason}); query it with \`status ${outcome.id}\` or submit again with --id and --retry`);
			return exitCodeUnknown;
		}

		default: {
			return assertNever(outcome);
		}
	}
}
