import type {MeshConfig, MeshRoute, MeshService} from '../types/mesh.js';
import {createApiKeyTable, type ApiKeyTable} from './organisations/keys.js';

/** Active configuration, indexed for look-up. */
export interface RouteTable {
  readonly config: MeshConfig;
  /** Routes by host followed by the path prefix. */
  readonly byPrefix: ReadonlyMap<string, MeshRoute>;
  readonly services: ReadonlyMap<string, MeshService>;
  /** Organisations by key; undefined when requests carry no keys. */
  readonly keys?: ApiKeyTable;
}

/** Indexes a configuration for look-up. */
export function createRouteTable(config: MeshConfig): RouteTable {
  const byPrefix = new Map<string, MeshRoute>();
  for (const route of config.routes) {
    byPrefix.set(route.host + route.pathPrefix, route);
  }
  const services = new Map(config.services.map(item => [item.name, item]));
  const keys = createApiKeyTable(config.organisations);
  return {config, byPrefix, services, keys};
}

/** Finds the route with the longest prefix of the path for the host. */
export function findRoute(
  table: RouteTable,
  host: string,
  target: string,
): MeshRoute | undefined {
  const name = normalizeHost(host);
  const query = target.indexOf('?');
  const path = query < 0 ? target : target.slice(0, query);
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const route = table.byPrefix.get(name + path.slice(0, end + 1));
    if (route) return route;
    end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
  }
  return undefined;
}

function normalizeHost(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}

/** Credit of each part of a split route, by route name. */
export type SplitState = Map<string, Map<string, number>>;

/** Range of the random initial credits, in requests. */
const INITIAL_CREDIT_SPREAD = 1;

/**
 * Chooses the service of a request so that the shares follow the weights in
 * every short run of requests (smooth weighted round robin): each part gains
 * its share of the weights, and the part with the most credit is chosen and
 * loses 1. Initial credits are random, so that daemons with few requests do not
 * all start with the same part.
 */
export function chooseService(
  state: SplitState,
  route: MeshRoute,
  random: () => number,
): string {
  const {parts} = route;
  if (parts.length === 1) return parts[0].service;
  const key = `${route.name} ${parts.map(p => `${p.service}=${p.weight}`).join()}`;
  let credits = state.get(key);
  if (!credits) {
    credits = createCredits(route, random);
    state.set(key, credits);
  }
  const total = parts.reduce((sum, part) => sum + part.weight, 0);
  let best = parts[0].service;
  let bestCredit = -Infinity;
  for (const {service, weight} of parts) {
    const credit = (credits.get(service) ?? 0) + weight / total;
    credits.set(service, credit);
    if (weight > 0 && credit > bestCredit) {
      best = service;
      bestCredit = credit;
    }
  }
  credits.set(best, bestCredit - 1);
  return best;
}

function createCredits(
  route: MeshRoute,
  random: () => number,
): Map<string, number> {
  const credits = new Map<string, number>();
  let sum = 0;
  for (const {service} of route.parts) {
    const credit = random() * INITIAL_CREDIT_SPREAD;
    credits.set(service, credit);
    sum += credit;
  }
  const mean = sum / route.parts.length;
  for (const [service, credit] of credits) credits.set(service, credit - mean);
  return credits;
}

/** Clears all credits when they outnumber the routes: some have changed. */
export function pruneSplits(state: SplitState, table: RouteTable): void {
  if (state.size <= table.config.routes.length) return;
  state.clear();
}
