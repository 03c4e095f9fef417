import {MissingServiceError} from './errors.js';

/** Typed key of a service. */
export type ServiceKey<Service> = Readonly<{name: string; service?: Service}>;

/** Service container of a program: task handles, clients and pending replies that its plug-ins share. */
export type Services = Readonly<{
	provide<Service>(key: ServiceKey<Service>, service: Service): void;
	/** @throws {MissingServiceError} if no plug-in has provided the service. */
	use<Service>(key: ServiceKey<Service>): Service;
}>;

/**
Creates a service key; belongs in the file that defines the service.

@example
```
export const membershipService = createServiceKey<TaskHandle<MembershipState, MembershipMessage>>('membership');
context.services.provide(membershipService, startTask(definition, services));
context.services.use(membershipService).send(message);
```
*/
export function createServiceKey<Service>(name: string): ServiceKey<Service> {
	return {name};
}

export function createServices(): Services {
	const instances = new Map<ServiceKey<unknown>, unknown>();
	return {
		provide(key, service) {
			instances.set(key, service);
		},
		use<Service>(key: ServiceKey<Service>): Service {
			if (!instances.has(key)) {
				throw new MissingServiceError(key.name);
			}

			return instances.get(key) as Service;
		},
	};
}
