import type {ListsFile} from './lists-file.js';
import {checkGuarantees} from './check-guarantees.js';
import {BadInputError} from './errors.js';
import type {CommandContext} from './types.js';

/**
Checks the guarantees of a file against the current workers if an entry is configured; returns a summary of the check.

@throws {BadInputError} with every finding, each with file, line and path.
*/
export async function checkLists({lists, locate}: ListsFile, context: CommandContext): Promise<string> {
	if (!context.hasEntry) {
		return 'the guarantees were not checked against workers, as no entry was named';
	}

	const {findings, uncheckedZones} = await checkGuarantees(context.useEntryOrigin(), lists);
	if (findings.length > 0) {
		throw new BadInputError(findings.map(finding => locate(finding)));
	}

	return uncheckedZones.length === 0
		? 'the guarantees fit the present workers'
		: `the guarantees could not be checked in ${uncheckedZones.join(', ')}`;
}
