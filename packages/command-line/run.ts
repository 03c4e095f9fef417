import sade from 'sade';
import {environmentVariableOf, version} from '#kernel';
import {createHttpStore, type KeyValueStore} from '#store';
import {
	exitCodeBadInput, exitCodeDone, exitCodeFailure, exitCodeUnavailable,
} from './constants.js';
import './commands/index.js';
import {BadInputError, UnavailableError} from './errors.js';
import {commandPlugins} from './plugins.js';
import type {CommandContext, CommandLineEnvironment} from './types.js';

const originFlags = ['store-origin', 'entry-origin'] as const;
type Options = Readonly<Record<string, unknown>>;

/**
Runs one command and resolves to the exit code.

@param words - The command line without the names of the interpreter and the program.
*/
export async function runCommandLine(words: readonly string[], commandLineEnvironment: CommandLineEnvironment): Promise<number> {
	const commands = new Map(commandPlugins.commands().map(command => [command.name.split(' ')[0] ?? '', command]));
	const program = sade('dotterelnotch').version(version)
		.option('--store-origin', `URL of the platform's key-value service (${environmentVariableOf('store-origin')})`)
		.option('--entry-origin', `URL of an entry (${environmentVariableOf('entry-origin')})`)
		.option('--json', 'Print JSON for programs', false);
	for (const {name, description, options} of commands.values()) {
		program.command(name, description);
		for (const option of options) {
			program.option(option.flag, option.description, option.default);
		}
	}

	const isHelpRequested = words.some(word => ['-h', '--help', '-v', '--version'].includes(word));
	const name = words.find(word => commands.has(word)) ?? '';
	const command = commands.get(name);
	if (command === undefined && !isHelpRequested) {
		commandLineEnvironment.printError(`a command is required: one of ${[...commands.keys()].join(', ')}`);
		return exitCodeBadInput;
	}

	const ownOptions = command?.options ?? [];
	const parsed = program.parse(['', '', ...words], {
		lazy: true,
		boolean: ['json', ...ownOptions.filter(option => option.default === false).map(({flag}) => flag.slice(2))],
		string: [...originFlags, ...ownOptions.filter(option => option.default !== false).map(({flag}) => flag.slice(2))],
	}) as Readonly<{args: readonly unknown[]}> | undefined;
	if (parsed === undefined || command === undefined) {
		return exitCodeDone;
	}

	const options = parsed.args.at(-1) as Options;
	const commandArguments = [...parsed.args.slice(0, -1), ...(options['_'] as readonly unknown[])].filter(argument => argument !== undefined).map(String);
	const flags = new Set(['json', 'j', '_', ...originFlags, ...ownOptions.map(({flag}) => flag.slice(2))]);
	return perform(async context => {
		const unknown = Object.keys(options).filter(flag => !flags.has(flag));
		if (unknown.length > 0) {
			throw new BadInputError(unknown.map(flag => `--${flag}: is not a known flag of ${name}`));
		}

		return command.perform(commandArguments, options, context);
	}, options, commandLineEnvironment);
}

async function perform(run: (context: CommandContext) => Promise<number>, options: Options, commandLineEnvironment: CommandLineEnvironment): Promise<number> {
	const {environment, printError} = commandLineEnvironment;
	const [storeOrigin, entryOrigin] = originFlags.map(flag => (options[flag] as string | undefined) ?? environment[environmentVariableOf(flag)]);
	let store: KeyValueStore | undefined;
	try {
		return await run({
			...commandLineEnvironment,
			isJson: options['json'] === true,
			hasEntry: entryOrigin !== undefined,
			useStore() {
				store ??= createHttpStore(checkOrigin('store-origin', storeOrigin));
				return store;
			},
			useEntryOrigin: () => checkOrigin('entry-origin', entryOrigin),
		});
	} catch (error) {
		if (error instanceof BadInputError) {
			printError(error.lines.join('\n'));
			return exitCodeBadInput;
		}

		printError(error instanceof Error ? error.message : String(error));
		return error instanceof UnavailableError ? exitCodeUnavailable : exitCodeFailure;
	} finally {
		await store?.close();
	}
}

function checkOrigin(flag: typeof originFlags[number], origin: string | undefined): string {
	if (origin === undefined) {
		throw new BadInputError([`--${flag}: is required (or set ${environmentVariableOf(flag)})`]);
	}

	if (!URL.canParse(origin)) {
		throw new BadInputError([`--${flag}: must be a URL`]);
	}

	return origin.replace(/\/$/, '');
}
