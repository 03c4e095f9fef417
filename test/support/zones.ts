/** What an entry under test needs for closed zones, and lists of them. */
import {
	configurationPort, coordinatorPlugins, type ConfigurationSource, type CoordinatorContext,
} from '#coordinator';
import type {ClosedZones} from '#zones';
import {decodeOperatorKey, evacuationPrefix, operatorPrefix} from '#platform/operator-keys.js';
import {decodeManifest} from '#platform/manifest.js';
import '../../packages/coordinator/plugins/index.js';

export const operatorSource: ConfigurationSource = {
	prefix: operatorPrefix, closedZonesPrefix: evacuationPrefix, decodeKey: decodeOperatorKey, decode: decodeManifest,
};

/** Starts the task that owns the closed zones. */
export function startZones(context: CoordinatorContext): void {
	context.services.provide(configurationPort, operatorSource);
	coordinatorPlugins.tasks().find(({name}) => name === 'zones')?.start(context);
}

/** A list of closed zones, each closed by its own revision. */
export function closedZonesOf(revision: number, ...zones: readonly string[]): ClosedZones {
	return {revision, zones: new Map(zones.map(zone => [zone, {revision, since: 0}]))};
}
