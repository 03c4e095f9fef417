import {requireArgument} from '../arguments.js';
import {askAbout} from '../ask-about.js';
import {commandPlugins} from '../plugins.js';

commandPlugins.register({
	kind: 'command',
	name: 'status [id]',
	description: 'Ask what became of a request or job',
	options: [],
	perform: async (commandArguments, _options, context) => askAbout(requireArgument(commandArguments, 0, 'id'), 'find', context),
});
