import {isDeepStrictEqual} from 'node:util';
import {describeLoad} from '#execution';
import type {AnnounceParameters} from '#protocol';
import {executionService} from './plugins/execution.js';
import {holdingsService} from './plugins/holdings.js';
import {sliceService} from './plugins/slice.js';
import type {AgentContext} from './types.js';

export type Report = Pick<AnnounceParameters, 'load' | 'holdings' | 'configurationRevision' | 'layoutRevision'>;

/** Returns the agent's periodic report. */
export function describeReport({services}: AgentContext): Report {
	const slice = services.use(sliceService).read().current;
	return {
		load: describeLoad(services.use(executionService).read()),
		holdings: services.use(holdingsService)(),
		configurationRevision: slice?.configurationRevision ?? 0,
		layoutRevision: slice?.layoutRevision ?? 0,
	};
}

/** Returns the agent's announcement, its first message on a connection. */
export function describeAgent(context: AgentContext, leaving: boolean): AnnounceParameters {
	const {worker, region, zone, rack, slots, connections, processors, accelerators} = context.settings;
	return {
		worker,
		incarnation: context.incarnation,
		region,
		zone,
		rack,
		capacity: {
			slots, connections, processors, memoryMegabytes: context.settings['memory-megabytes'], accelerators,
		},
		leaving,
		...describeReport(context),
	};
}

/** Omits fields that are unchanged since the last acknowledged report, because reports are most of an idle agent's traffic. */
export function pickChangedFields(report: Report, last: Report | undefined): Partial<Report> {
	return Object.fromEntries(Object.entries(report).filter(([name, value]) => !isDeepStrictEqual(value, last?.[name as keyof Report])));
}
