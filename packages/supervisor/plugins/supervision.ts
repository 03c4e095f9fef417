import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {
	initialSupervisionState, receiveSupervisionMessage, type SupervisionEffect, type SupervisionMessage, type SupervisionState,
} from '#supervision';
import {supervisorPlugins} from '../plugins.js';
import {workerPort} from '../ports.js';
import {stopRuns} from '../stop-runs.js';
import type {SupervisorContext} from '../types.js';
import {entriesService} from './entries.js';

/** The task that owns the state of the agent's worker. */
export const supervisionService = createServiceKey<TaskHandle<SupervisionState, SupervisionMessage>>('supervision');

type Send = (message: SupervisionMessage) => void;

supervisorPlugins.register({
	kind: 'task',
	name: 'supervision',
	start(context) {
		const {clock, services, settings} = context;
		const options = {maximumLeaseMilliseconds: settings['maximum-hold-milliseconds'], workerAddress: settings['worker-address']};
		const supervision = startTask<SupervisionState, SupervisionMessage, SupervisionEffect>(
			{
				name: 'supervision',
				initialState: initialSupervisionState,
				receive: (state, message, time) => receiveSupervisionMessage(state, message, time, options),
			},
			{
				clock,
				perform(effect, send) {
					performEffect(effect, send, context);
				},
			},
		);
		services.provide(supervisionService, supervision);
		return () => {
			supervision.send({kind: 'stop'});
		};
	},
});

function performEffect(effect: SupervisionEffect, send: Send, context: SupervisorContext): void {
	const {services, clock, counters, log} = context;
	switch (effect.kind) {
		case 'extend-leases': {
			void (async () => {
				const result = await services.use(workerPort).extendLeases(effect.extension);
				if (result.kind !== 'answered') {
					counters.countRetry(`hold-${result.kind}`);
				}

				send({kind: 'extension-answered', extension: effect.extension, result});
			})();

			break;
		}

		case 'schedule-extension': {
			clock.schedule(effect.delay, () => {
				send({kind: 'extension-due'});
			});
			break;
		}

		case 'revoke-starts': {
			const {worker, epoch} = effect;
			void (async () => {
				const starts = await stopRuns({worker, orders: worker.startsToRevoke, epoch}, services.use(supervisionService), context);
				send({kind: 'starts-revoked', incarnation: worker.announcement.incarnation, starts});
			})();

			break;
		}

		case 'schedule-check': {
			clock.schedule(effect.delay, () => {
				send({kind: 'check-due'});
			});
			break;
		}

		case 'schedule-probe': {
			clock.schedule(effect.delay, () => {
				send({kind: 'probe-due'});
			});
			break;
		}

		case 'probe': {
			const {extension} = effect;
			void (async () => {
				const result = await services.use(workerPort).extendLeases(extension);
				if (result.kind === 'answered') {
					send({kind: 'extension-answered', extension, result});
				}
			})();

			break;
		}

		case 'renew': {
			services.use(entriesService).renewNow();
			break;
		}

		case 'log': {
			counters.countEvent(effect.event);
			log.withPrefix('supervision').info(effect.fields, effect.event.replaceAll('-', ' '));
		}
	}
}
