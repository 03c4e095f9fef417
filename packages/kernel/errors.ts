import VError from 'verror';

/** Thrown when two plug-ins of one program have the same kind and name. */
export class DuplicatePluginError extends VError {
	constructor(program: string, plugin: string) {
		super({name: 'DuplicatePluginError', info: {program, plugin}}, '%s: plug-in "%s" is registered twice', program, plugin);
	}
}

/** Thrown when a plug-in uses a service that no plug-in of the program provides. */
export class MissingServiceError extends VError {
	constructor(service: string) {
		super({name: 'MissingServiceError', info: {service}}, 'no plug-in provides the service "%s"', service);
	}
}
