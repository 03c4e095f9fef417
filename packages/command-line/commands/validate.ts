import {requireArgument} from '../arguments.js';
import {checkGuarantees} from '../ask-entry.js';
import {exitCodeDone} from '../constants.js';
import {BadInputError} from '../errors.js';
import {readListsFile} from '../lists-file.js';
import {commandPlugins} from '../plugins.js';

commandPlugins.register({
	kind: 'command',
	name: 'validate [file]',
	description: 'Check the two lists in a file; with --entry-origin also whether the guarantees fit the present workers',
	options: [],
	async perform(commandArguments, _options, context) {
		const file = requireArgument(commandArguments, 0, 'file');
		const {lists, locate} = readListsFile(file, await context.readFile(file));
		const check = context.hasEntry ? await checkGuarantees(context.useEntryOrigin(), lists) : {kind: 'not-offered' as const};
		if (check.kind === 'checked' && check.findings.length > 0) {
			throw new BadInputError(check.findings.map(finding => locate(finding)));
		}

		const areGuaranteesChecked = check.kind === 'checked';
		context.print(context.isJson
			? JSON.stringify({valid: true, areGuaranteesChecked, plans: lists.plans.length})
			: `${file}: ${lists.plans.length} plans are valid; the guarantees were ${areGuaranteesChecked ? '' : 'not '}checked against the present workers`);
		return exitCodeDone;
	},
});
