import type {RandomSource} from '#core';
import type {
	Clock, Counters, ProgramLog, Services,
} from '#kernel';
import type {CoordinatorSettings} from './settings.js';

/** Dependencies of every plug-in of the entry. */
export type CoordinatorContext = Readonly<{
	settings: CoordinatorSettings;
	clock: Clock;
	random: RandomSource;
	log: ProgramLog;
	counters: Counters;
	services: Services;
}>;
