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

/** Key of the operators' configuration in the platform's store, and the decoder of its value. */
export type ConfigurationSource = Readonly<{key: string; decode(value: unknown): CheckResult<SchedulingConfiguration>}>;
export const configurationPort = createServiceKey<ConfigurationSource>('configuration-source');
