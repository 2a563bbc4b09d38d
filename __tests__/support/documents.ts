import type {Document} from '../../src/internal.js';

/** Builds a valid document of a given size, with routes named `r0`, `r1`... */
export function createDocument(
  dataCentres: readonly string[],
  services = 3,
  routes = 6,
): Document {
  const document: Document = {dataCentres: {}, services: {}, routes: {}};
  for (const name of dataCentres) {
    document.dataCentres[name] = {region: 'r1', state: 'in'};
  }
  for (let i = 0; i < services; i++) {
    document.services[`s${i}`] = {
      slots: 12,
      connections: 110,
      dataCentres: [...dataCentres],
      downloadShare: 0.5,
      expectedMs: 50,
    };
  }
  for (let i = 0; i < routes; i++) {
    document.routes[`r${i}`] = {
      pathPrefix: `/area${i}/resource`,
      methods: ['GET', 'POST'],
      service: `s${i % services}`,
      idempotent: i % 2 === 0,
      priority: 'read',
      timeoutMs: 10_000,
    };
  }
  return document;
}
