import {randomUUID} from 'node:crypto';
import type {Incarnation} from '#core';
import {
	createCounters, createProgramLog, createServices, startTasks, systemClock, type RunningDaemon,
} from '#kernel';
import {agentPlugins} from './plugins.js';
import './plugins/index.js';
import type {AgentSettings} from './settings.js';

/** Starts an agent. */
export async function startAgent(settings: AgentSettings): Promise<RunningDaemon> {
	const stopTasks = startTasks(agentPlugins, {
		settings,
		incarnation: randomUUID() as string as Incarnation,
		clock: systemClock,
		log: createProgramLog('dotterelnotch-agent', settings['log-level'], {worker: settings.worker}),
		counters: createCounters(),
		services: createServices(),
	});
	return {
		ports: {},
		async stop() {
			stopTasks();
		},
	};
}
