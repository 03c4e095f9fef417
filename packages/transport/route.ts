import type {HttpRoutePlugin} from '#kernel';

export type RouteMatch<Context> =
	| Readonly<{kind: 'matched'; route: HttpRoutePlugin<Context>; parameters: Readonly<Record<string, string>>}>
	| Readonly<{kind: 'wrong-method'; allowed: readonly string[]}>
	| Readonly<{kind: 'not-found'}>;

/** Finds the route for a method and path. */
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
	const patternSegments = pattern.split('/');
	const pathSegments = path.split('/');
	if (patternSegments.length !== pathSegments.length) {
		return undefined;
	}

	const parameters: Record<string, string> = {};
	for (const [index, patternSegment] of patternSegments.entries()) {
		const segment = pathSegments[index] ?? '';
		if (patternSegment.startsWith(':') && segment !== '') {
			const value = decodeSegment(segment);
			if (value === undefined) {
				return undefined;
			}

			parameters[patternSegment.slice(1)] = value;
		} else if (patternSegment !== segment) {
			return undefined;
		}
	}

	return parameters;
}

function decodeSegment(segment: string): string | undefined {
	try {
		return decodeURIComponent(segment);
	} catch {
		return undefined;
	}
}
