import type {RandomSource} from '#core';
import type {
	Clock, Counters, ProgramLog, Services,
} from '#kernel';
import type {connectToPeer} from '#transport';
import type {SupervisorSettings} from './settings.js';

/** Dependencies of every plug-in of the agent. */
export type SupervisorContext = Readonly<{
	settings: SupervisorSettings;
	clock: Clock;
	random: RandomSource;
	log: ProgramLog;
	counters: Counters;
	services: Services;
	/** Opens the connections to entries. */
	connect: typeof connectToPeer;
	/** Distinguishes this process from an earlier one of the same name. */
	process: string;
}>;
