import type {RandomSource} from '#core';
import type {
	Clock, Counters, ProgramLog, Services,
} from '#kernel';
import type {SupervisorSettings} from './settings.js';

/** What every plug-in of the agent gets. */
export type SupervisorContext = Readonly<{
	settings: SupervisorSettings;
	clock: Clock;
	random: RandomSource;
	log: ProgramLog;
	counters: Counters;
	services: Services;
	/** Tells this process from an earlier one of the same name. */
	process: string;
}>;
