import {describeDifferences, formatDifference, type Lists} from '#configuration';
import {requireArgument} from '../arguments.js';
import {exitCodeDone} from '../constants.js';
import {BadInputError} from '../errors.js';
import {readListsFile} from '../lists-file.js';
import {commandPlugins} from '../plugins.js';
import {readCurrent, readRevision} from '../read-configuration.js';
import type {CommandContext} from '../types.js';

commandPlugins.register({
	kind: 'command',
	name: 'diff [from] [to]',
	description: 'Compare two revisions or files; without the second, compare with the current revision',
	options: [],
	async perform(commandArguments, _options, context) {
		const from = requireArgument(commandArguments, 0, 'from');
		const to = commandArguments[1];
		const differences = describeDifferences(await readSide(from, context), await readSide(to, context));
		if (context.isJson) {
			context.print(JSON.stringify(differences));
		} else {
			context.print(differences.length === 0 ? 'no difference' : differences.map(difference => formatDifference(difference)).join('\n'));
		}

		return exitCodeDone;
	},
});

/** Reads a revision if the argument is a whole number, otherwise a file. */
async function readSide(side: string | undefined, context: CommandContext): Promise<Lists> {
	if (side === undefined) {
		const current = await readCurrent(context.useStore());
		if (current === undefined) {
			throw new BadInputError(['<to>: the store holds no configuration']);
		}

		return current;
	}

	return /^\d+$/.test(side)
		? readRevision(context.useStore(), Number(side))
		: readListsFile(side, await context.readFile(side)).lists;
}
