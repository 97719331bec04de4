/**
 * Encodes the catalog for entries. Invariant: entries get everything that their decisions depend on, and
 * nothing that only operators' reads and duplicate orders need, which is most of a large table.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Packr } from 'msgpackr';
import {
  decodeCatalog,
  encodeCatalog,
  type Catalog,
  type CatalogCommand,
  type RouteTable,
} from '../catalog/index.js';

const packr = new Packr({ useRecords: false });

/** Smallest size in bytes that is compressed; a table of 1000 routes would fill a small VM's link for a second. */
const MIN_COMPRESSED_SIZE = 1024;
/** Higher compression levels take several times as long and save little. */
const COMPRESSION = { level: 3 };

/** Largest size in bytes of what is decompressed; a message that claims more is damaged. */
const MAX_DECODED_SIZE = 64 * 1024 * 1024;

/** An encoded message body, compressed if it is large enough. */
export type Payload = readonly [isCompressed: boolean, bytes: Uint8Array];

function encodePayload(bytes: Uint8Array): Payload {
  return bytes.length < MIN_COMPRESSED_SIZE
    ? [false, bytes]
    : [true, deflateRawSync(bytes, COMPRESSION)];
}

function decodePayload([isCompressed, bytes]: Payload): Uint8Array {
  return isCompressed ? inflateRawSync(bytes, { maxOutputLength: MAX_DECODED_SIZE }) : bytes;
}

function dropSource<T extends { readonly source: unknown }>(item: T): T {
  return { ...item, source: undefined };
}

function dropTableSources(table: RouteTable): RouteTable {
  return {
    ...table,
    routes: table.routes.map(dropSource),
    services: table.services.map(dropSource),
    limits: dropSource(table.limits),
    ...(table.accounts === undefined ? {} : { accounts: table.accounts.map(dropSource) }),
    extra: {},
  };
}

function dropSources(command: CatalogCommand): CatalogCommand {
  switch (command.kind) {
    case 'replaceRoutes':
      return { ...command, table: dropTableSources(command.table) };
    case 'patchRoutes': {
      const { upsert, remove, version } = command.patch;
      const { routes, services, limits, accounts } = upsert;
      return {
        ...command,
        patch: {
          version,
          remove,
          upsert: {
            routes: routes.map(dropSource),
            services: services.map(dropSource),
            limits: limits && dropSource(limits),
            ...(accounts === undefined ? {} : { accounts: accounts.map(dropSource) }),
          },
        },
      };
    }
    case 'announce':
    case 'end':
    case 'chill':
    case 'startMove':
    case 'stepMove':
    case 'setZone':
    case 'recordUsage':
    case 'takeUsageDuty':
      return command;
  }
}

/** Commands with their index in the log, in log order. */
export type IndexedCommands = readonly (readonly [index: number, command: CatalogCommand])[];

/**
 * Encodes commands for entries.
 *
 * @example
 * decodeCommands(encodeCommands([[17, { kind: 'setZone', zone: 'cyberjaya', out: true }]]))
 */
export function encodeCommands(commands: IndexedCommands): Payload {
  return encodePayload(
    packr.pack(commands.map(([index, command]) => [index, dropSources(command)])),
  );
}

/** Decodes the output of {@link encodeCommands}. */
export function decodeCommands(payload: Payload): IndexedCommands {
  return packr.unpack(decodePayload(payload)) as IndexedCommands;
}

/**
 * Encodes the whole state for entries, without the usage reports and the accepted changes. An entry that applies one of these changes
 * again rejects it as based on an old version, so its state doesn't change either.
 */
export function encodeState(catalog: Catalog): Payload {
  const { table } = catalog;
  const stripped = { ...catalog, accepted: [], table: table && dropTableSources(table) };
  delete stripped.usage;
  return encodePayload(encodeCatalog(stripped));
}

/** Decodes the output of {@link encodeState}. */
export function decodeState(payload: Payload): Catalog {
  return decodeCatalog(decodePayload(payload));
}

/** Encodes an update of a list of entries, or returns undefined if it is too small to be worth it. */
export function encodeFleetUpdate(update: object): Payload | undefined {
  const payload = encodePayload(packr.pack(update));
  const [isCompressed] = payload;
  return isCompressed ? payload : undefined;
}

/** Decodes the output of {@link encodeFleetUpdate}, which the caller checks. */
export function decodeFleetUpdate(payload: Payload): unknown {
  return packr.unpack(decodePayload(payload));
}
