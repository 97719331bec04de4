/** Fixtures for the gateway's tests: upstreams of the service `records` and catalogs of them. */
import { emptyCatalog, type Catalog, type Instance } from '../../src/catalog/index.js';

/** Builds an upstream of the service `records`. */
export function createInstance(id: string, zone = 'a'): Instance {
  const location = { id, address: `${id}:1`, zone };
  return { ...location, service: 'records', version: 'v1', slots: 6, bornAt: 0, draining: false };
}

/** Builds a catalog that contains only upstreams of the service `records` with these ids. */
export function createCatalog(ids: readonly string[]): Catalog {
  return {
    ...emptyCatalog,
    instances: new Map(ids.map((id) => [id, createInstance(id)])),
  };
}
