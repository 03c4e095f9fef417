import {MissingServiceError} from './errors.js';

/** Names a service of a program and carries its type. */
export type ServiceKey<Service> = Readonly<{name: string; service?: Service}>;

/** What the plug-ins of a program offer each other: handles of tasks, clients, reply tables. */
export type Services = Readonly<{
	provide<Service>(key: ServiceKey<Service>, service: Service): void;
	/** @throws {MissingServiceError} if no plug-in provided it. */
	use<Service>(key: ServiceKey<Service>): Service;
}>;

/**
Creates the key of a service, in the file that defines the service.

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
	const provided = new Map<ServiceKey<unknown>, unknown>();
	return {
		provide(key, service) {
			provided.set(key, service);
		},
		use<Service>(key: ServiceKey<Service>): Service {
			if (!provided.has(key)) {
				throw new MissingServiceError(key.name);
			}

			return provided.get(key) as Service;
		},
	};
}
