import type {MeshRoute, MeshUpstream} from '../../src/internal.js';

/** Creates a route with test defaults. */
export function makeRoute(fields: Partial<MeshRoute> = {}): MeshRoute {
  return {
    name: 'r',
    host: 'shop.example',
    pathPrefix: '/a/',
    parts: [{service: 's', weight: 1}],
    repeatable: true,
    timeoutMs: 1_000,
    goalMs: 200,
    attempts: 2,
    rank: 1,
    public: false,
    ...fields,
  };
}

/** Creates a listed upstream with test defaults. */
export function makeUpstream(fields: Partial<MeshUpstream> = {}): MeshUpstream {
  return {
    id: 'u1',
    service: 's',
    host: '127.0.0.1',
    port: 8_000,
    dataCentre: 'dc1',
    slots: 4,
    state: 'live',
    coldMs: 0,
    startedAt: 1,
    ...fields,
  };
}
