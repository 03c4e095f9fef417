import type {HttpRoutePlugin} from '#kernel';

export type RouteMatch<Context> =
	| Readonly<{kind: 'matched'; route: HttpRoutePlugin<Context>; parameters: Readonly<Record<string, string>>}>
	| Readonly<{kind: 'wrong-method'; allowed: readonly string[]}>
	| Readonly<{kind: 'not-found'}>;

/** Finds the route of a method and path. */
export function matchRoute<Context>(routes: ReadonlyArray<HttpRoutePlugin<Context>>, method: string, path: string): RouteMatch<Context> {
	const allowed: string[] = [];
	for (const route of routes) {
		const parameters = matchPath(route.path, path);
		if (parameters === undefined) {
			continue;
		}

		if (route.method === method) {
			return {kind: 'matched', route, parameters};
		}

		allowed.push(route.method);
	}

	return allowed.length === 0 ? {kind: 'not-found'} : {kind: 'wrong-method', allowed};
}

function matchPath(pattern: string, path: string): Readonly<Record<string, string>> | undefined {
	const patternParts = pattern.split('/');
	const pathParts = path.split('/');
	if (patternParts.length !== pathParts.length) {
		return undefined;
	}

	const parameters: Record<string, string> = {};
	for (const [index, part] of patternParts.entries()) {
		const given = pathParts[index] ?? '';
		if (part.startsWith(':') && given !== '') {
			const value = decodePart(given);
			if (value === undefined) {
				return undefined;
			}

			parameters[part.slice(1)] = value;
		} else if (part !== given) {
			return undefined;
		}
	}

	return parameters;
}

function decodePart(part: string): string | undefined {
	try {
		return decodeURIComponent(part);
	} catch {
		return undefined;
	}
}
