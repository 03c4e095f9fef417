import {requireArgument} from '../arguments.js';
import {queryWork} from '../query-work.js';
import {commandPlugins} from '../plugins.js';

commandPlugins.register({
	kind: 'command',
	name: 'status [id]',
	description: 'Show the status of a request or job',
	options: [],
	perform: async (commandArguments, _options, context) => queryWork(requireArgument(commandArguments, 0, 'id'), 'find', context),
});
