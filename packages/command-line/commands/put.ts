import {
	describeDifferences, formatDifference, type ChangeOutcome, type Configuration, type Lists,
} from '#configuration';
import {assertNever} from '#core';
import {readWholeNumber, requireArgument} from '../arguments.js';
import {checkLists} from '../check-lists.js';
import {
	defaultWaitSeconds, exitCodeDone, exitCodeFailure, exitCodeStaleBase, exitCodeUnavailable, exitCodeUnknown, putTimeoutMilliseconds,
} from '../constants.js';
import {BadInputError} from '../errors.js';
import {readListsFile} from '../lists-file.js';
import {commandPlugins} from '../plugins.js';
import {readCurrent} from '../read-configuration.js';
import type {CommandContext} from '../types.js';
import {waitUntilInForce} from '../wait.js';
import {writeConfiguration} from '../write-configuration.js';

const noLists: Lists = {plans: [], allowances: []};

commandPlugins.register({
	kind: 'command',
	name: 'put [file]',
	description: 'Replace the configuration by the two lists in a file, if it still has the base revision',
	options: [
		{flag: '--base', description: 'Revision on which the file is based; defaults to `revision` in the file'},
		{flag: '--changed-by', description: 'Name of the author of the change'},
		{flag: '--dry-run', description: 'Only print the differences', default: false},
		{flag: '--wait', description: 'Wait until the revision is in force on all entries and agents', default: false},
		{flag: '--wait-seconds', description: 'Maximum wait in seconds', default: String(defaultWaitSeconds)},
	],
	async perform(commandArguments, options, context) {
		const file = requireArgument(commandArguments, 0, 'file');
		const waitSeconds = readWholeNumber(options, 'wait-seconds') ?? defaultWaitSeconds;
		const givenBase = readWholeNumber(options, 'base');
		const listsFile = readListsFile(file, await context.readFile(file));
		const check = await checkLists(listsFile, context);
		const current = await readCurrent(context.useStore());
		const base = chooseBase(givenBase ?? listsFile.base, current);
		const differences = describeDifferences(current ?? noLists, listsFile.lists).map(difference => formatDifference(difference));
		if (!context.isJson) {
			context.print(differences.length === 0 ? 'no difference' : differences.join('\n'));
			context.print(check);
		}

		const isUnchanged = differences.length === 0 && current?.revision === base;
		if (options['dry-run'] === true || isUnchanged) {
			if (context.isJson) {
				context.print(JSON.stringify({kind: isUnchanged ? 'unchanged' : 'dry-run', revision: current?.revision ?? 0, differences}));
			}

			return exitCodeDone;
		}

		const changedBy = typeof options['changed-by'] === 'string' ? options['changed-by'] : context.userName;
		const outcome = await writeConfiguration({
			lists: listsFile.lists, base, changeId: context.createIdentifier(), changedBy, changedAt: context.clock.now(),
		}, {
			store: context.useStore(), clock: context.clock, random: context.random, timeout: putTimeoutMilliseconds,
		});
		return report(outcome, {differences, waitSeconds: options['wait'] === true ? waitSeconds : 0}, context);
	},
});

/** A base is required unless the store holds no configuration yet. */
function chooseBase(given: number | undefined, current: Configuration | undefined): number {
	if (given === undefined && current !== undefined) {
		throw new BadInputError([`--base: is required, or \`revision\` in the file; the present revision is ${current.revision}`]);
	}

	return given ?? 0;
}

type ReportOptions = Readonly<{differences: readonly string[]; waitSeconds: number}>;

async function report(outcome: ChangeOutcome, {differences, waitSeconds}: ReportOptions, context: CommandContext): Promise<number> {
	switch (outcome.kind) {
		case 'applied': {
			const superseded = outcome.current > outcome.revision ? `; it has since been replaced by revision ${outcome.current}` : '';
			if (!context.isJson) {
				context.print(`revision ${outcome.revision} is stored${superseded}`);
			}

			const progress = waitSeconds > 0 ? await waitUntilInForce(outcome.revision, waitSeconds * 1000, context) : undefined;
			if (context.isJson) {
				context.print(JSON.stringify({...outcome, differences, progress}));
			}

			if (progress === undefined || progress.missing.length === 0) {
				return exitCodeDone;
			}

			context.printError(`revision ${outcome.revision} is not yet in force on: ${progress.missing.join(', ')}`);
			return exitCodeFailure;
		}

		case 'stale-base': {
			const by = outcome.changedBy === undefined ? '' : `, changed by ${outcome.changedBy}`;
			return fail(outcome, `the base is revision ${outcome.base}, but the store holds revision ${outcome.current}${by}; nothing was changed`, exitCodeStaleBase, context);
		}

		case 'unavailable': {
			return fail(outcome, `the store is not available: ${outcome.message}; nothing was changed`, exitCodeUnavailable, context);
		}

		case 'unknown': {
			return fail(
				outcome,
				`it is not known whether revision ${outcome.revision} was stored (${outcome.message}); look for change ${outcome.changeId} with \`history\``,
				exitCodeUnknown,
				context,
			);
		}

		default: {
			return assertNever(outcome);
		}
	}
}

function fail(outcome: ChangeOutcome, message: string, exitCode: number, context: CommandContext): number {
	if (context.isJson) {
		context.print(JSON.stringify(outcome));
	}

	context.printError(message);
	return exitCode;
}
