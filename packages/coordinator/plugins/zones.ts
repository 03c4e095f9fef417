import {assertNever} from '#core';
import {createServiceKey, startTask, type TaskHandle} from '#kernel';
import {noClosedZones, type ClosedZones} from '#zones';
import {coordinatorPlugins} from '../plugins.js';
import type {CoordinatorContext} from '../types.js';
import {receiveZonesMessage, type ZonesEffect, type ZonesMessage} from '../zones-state.js';

/** Task that owns what this process knows of closed zones; the revision of its list never decreases. */
export const zonesService = createServiceKey<TaskHandle<ClosedZones, ZonesMessage>>('zones');

coordinatorPlugins.register({
	kind: 'task',
	name: 'zones',
	start(context) {
		const {services, clock, counters} = context;
		const zones = startTask<ClosedZones, ZonesMessage, ZonesEffect>(
			{name: 'zones', initialState: noClosedZones, receive: receiveZonesMessage},
			{
				clock,
				perform(effect) {
					logChange(effect, context);
					counters.setGauge('closed-zones', zones.read().zones.size);
				},
			},
		);
		counters.setGauge('closed-zones', 0);
		services.provide(zonesService, zones);
		return () => {
			zones.stop();
		};
	},
});

function logChange({kind, milliseconds, ...details}: ZonesEffect, {log}: CoordinatorContext): void {
	const zonesLog = log.withPrefix('zones');
	switch (kind) {
		case 'closed': {
			zonesLog.info({...details, knownForMilliseconds: milliseconds}, 'zone is closed');
			break;
		}

		case 'opened': {
			zonesLog.info({...details, closedForMilliseconds: milliseconds}, 'zone is open');
			break;
		}

		default: {
			assertNever(kind);
		}
	}
}
