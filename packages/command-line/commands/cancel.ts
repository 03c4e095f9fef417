import {requireArgument} from '../arguments.js';
import {queryWork} from '../query-work.js';
import {commandPlugins} from '../plugins.js';

commandPlugins.register({
	kind: 'command',
	name: 'cancel [id]',
	description: 'Cancel a request that has not started, or a job',
	options: [],
	perform: async (commandArguments, _options, context) => queryWork(requireArgument(commandArguments, 0, 'id'), 'cancel', context),
});
