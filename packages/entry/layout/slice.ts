import type {Configuration} from '#configuration';
import type {WorkerId} from '#core';
import type {Layout} from '#placement';
import type {Slice} from '#protocol';
import {listPlanLimits} from './plan-changes.js';

type Revisions = Pick<Slice, 'configurationRevision' | 'layoutRevision'>;

/** Builds an agent's slice if it is newer than the one that the agent reported. An entry whose configuration or layout is older sends none; an entry with newer revisions does. */
export function chooseSlice(configuration: Configuration, layout: Layout, worker: WorkerId, reported: Revisions): Slice | undefined {
	const isOlder = configuration.revision < reported.configurationRevision || layout.revision < reported.layoutRevision;
	const isEqual = configuration.revision === reported.configurationRevision && layout.revision === reported.layoutRevision;
	return isOlder || isEqual ? undefined : buildSlice(configuration, layout, worker);
}

function buildSlice(configuration: Configuration, layout: Layout, worker: WorkerId): Slice {
	return {
		configurationRevision: configuration.revision,
		layoutRevision: layout.revision,
		cells: layout.cells.flatMap(({plan, parts}) => parts.filter(part => part.worker === worker).map(({accelerators}) => ({plan, accelerators}))),
		plans: listPlanLimits(configuration),
	};
}
