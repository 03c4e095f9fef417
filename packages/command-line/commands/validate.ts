import {requireArgument} from '../arguments.js';
import {checkLists} from '../check-lists.js';
import {exitCodeDone} from '../constants.js';
import {readListsFile} from '../lists-file.js';
import {commandPlugins} from '../plugins.js';

commandPlugins.register({
	kind: 'command',
	name: 'validate [file]',
	description: 'Check the two lists in a file; with --entry-origin also whether the guarantees fit the present workers',
	options: [],
	async perform(commandArguments, _options, context) {
		const file = requireArgument(commandArguments, 0, 'file');
		const listsFile = readListsFile(file, await context.readFile(file));
		const check = await checkLists(listsFile, context);
		const plans = listsFile.lists.plans.length;
		context.print(context.isJson ? JSON.stringify({valid: true, plans, check}) : `${file}: ${plans} plans are valid; ${check}`);
		return exitCodeDone;
	},
});
