/** What a platform provides to the entry. A platform's plug-ins fill these services. */
import type {Checked} from '#core';
import type {SchedulingConfiguration} from '#jobs';
import {createServiceKey} from '#kernel';
import type {TransactionalStore} from '#store';
import type {StoreMonitor} from './store-monitor.js';

/** Client of the platform's key-value service. */
export const platformStorePort = createServiceKey<TransactionalStore>('platform-store');

/** The same client, with its answers noted. */
export const storePort = createServiceKey<TransactionalStore>('store');

export const storeMonitorService = createServiceKey<Pick<StoreMonitor, 'isFailing'>>('store-monitor');

/** Where the operators' lists are kept and how they are read. */
export type ConfigurationSource = Readonly<{key: string; decode(value: unknown): Checked<SchedulingConfiguration>}>;
export const configurationPort = createServiceKey<ConfigurationSource>('configuration-source');
