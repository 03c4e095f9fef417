/** Services that a platform's plug-ins provide to the entry, and the monitored store client built on them. */
import type {CheckResult} from '#core';
import type {SchedulingConfiguration} from '#jobs';
import {createServiceKey} from '#kernel';
import type {TransactionalStore} from '#store';
import type {StoreMonitor} from './store-monitor.js';

/** Client of the platform's key-value service. */
export const platformStorePort = createServiceKey<TransactionalStore>('platform-store');

/** The same client, monitored for failures. */
export const storePort = createServiceKey<TransactionalStore>('store');

export const storeMonitorService = createServiceKey<Omit<StoreMonitor, 'store'>>('store-monitor');

/** What a key of the operators holds. A key that closes a zone does so whatever its value. */
export type OperatorKey =
	| Readonly<{kind: 'configuration'}>
	| Readonly<{kind: 'closed-zone'; zone: string}>
	| Readonly<{kind: 'other'}>;

/** The keys that operators write to the platform's store, and the decoder of their configuration. */
export type ConfigurationSource = Readonly<{
	/** Prefix of all of them, which each entry watches. */
	prefix: string;
	/** Prefix of those that close zones. A list of them leaves out the configuration, which may be large. */
	closedZonesPrefix: string;
	decodeKey(key: string): OperatorKey;
	decode(value: unknown): CheckResult<SchedulingConfiguration>;
}>;
export const configurationPort = createServiceKey<ConfigurationSource>('configuration-source');
