import type {Document, RouteConfig} from '../types/document.js';

/** A route with its name in the document. */
export interface MatchedRoute {
  readonly name: string;
  readonly route: RouteConfig;
}

const sortedRoutes = new WeakMap<Document, MatchedRoute[]>();

/**
 * Finds the route with the longest prefix among those of the method. A prefix
 * matches only up to a segment boundary; equal prefixes are ordered by name.
 */
export function matchRoute(
  document: Document,
  method: string,
  path: string,
): MatchedRoute | undefined {
  return listRoutes(document).find(
    ({route}) =>
      (route.methods as readonly string[]).includes(method) &&
      hasPrefix(path, route.pathPrefix),
  );
}

function listRoutes(document: Document): MatchedRoute[] {
  let routes = sortedRoutes.get(document);
  if (!routes) {
    routes = Object.entries(document.routes).map(([name, route]) => ({
      name,
      route,
    }));
    routes.sort(
      (a, b) =>
        b.route.pathPrefix.length - a.route.pathPrefix.length ||
        (a.name < b.name ? -1 : 1),
    );
    sortedRoutes.set(document, routes);
  }
  return routes;
}

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (path.length === prefix.length || prefix.endsWith('/')) return true;
  return path[prefix.length] === '/';
}

/**
 * Form of a path used to match routes: decoded, without empty segments. An
 * encoded spelling must not reach a shorter, idempotent prefix. Undefined when
 * the path is malformed or has dot segments, which upstreams resolve.
 */
export function normalizePath(path: string): string | undefined {
  if (!path.startsWith('/')) return undefined;
  if (!/%|\/\/|\/\.|\\/.test(path)) return path;
  let decoded: string;
  try {
    decoded = decodeURIComponent(path);
  } catch {
    return undefined;
  }
  if (/[\\\u0000-\u001f\u007f]/.test(decoded)) return undefined;
  if (decoded.split('/').some(part => part === '.' || part === '..')) {
    return undefined;
  }
  return decoded.replace(/\/{2,}/g, '/');
}
