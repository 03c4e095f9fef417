import type {Incarnation} from '#core';
import type {
	Clock, Counters, ProgramLog, Services,
} from '#kernel';
import type {AgentSettings} from './settings.js';

/** Context that the agent's plug-ins share. */
export type AgentContext = Readonly<{
	settings: AgentSettings;
	incarnation: Incarnation;
	clock: Clock;
	log: ProgramLog;
	counters: Counters;
	services: Services;
}>;
