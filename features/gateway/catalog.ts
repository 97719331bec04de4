/** Catalogs for tests of the gateway. */
import { emptyCatalog, type Catalog, type Instance } from '../../src/catalog/index.js';

/** Builds an upstream of the service `records`. */
export function createInstance(id: string, zone = 'a'): Instance {
  const at = { id, address: `${id}:1`, zone };
  return { ...at, service: 'records', version: 'v1', slots: 6, bornAt: 0, draining: false };
}

/** Builds a catalog with these upstreams and the service `records`. */
export function createCatalog(ids: readonly string[]): Catalog {
  return {
    ...emptyCatalog,
    instances: Object.fromEntries(ids.map((id) => [id, createInstance(id)])),
  };
}
