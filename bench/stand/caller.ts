/**
 * A caller that follows the published caller contract: it looks up the entries' addresses, caches them for their time to
 * live, and tries the next address when a connection is refused.
 * Invariant: a request is sent again only after a refused connection, so no request runs twice.
 */
import { Pool } from 'undici';

/** Options of {@link createContractCaller}. */
export interface ContractCallerOptions {
  /** Addresses of entries that are looked up last, after every cached address. */
  readonly seeds: readonly string[];
  readonly service: string;
  /** Number of requests in flight at once. */
  readonly callers: number;
}

/** A running caller. */
export interface ContractCaller {
  /** Requests that were answered with 200 and the expected body. */
  readonly answered: number;
  /** One description of each failed request or address lookup. */
  readonly problems: readonly string[];
  stop(): Promise<void>;
}

interface AddressAnswer {
  readonly addresses: readonly { readonly address: string }[];
  readonly ttl_ms: number;
}

const REQUEST_PAUSE_MS = 5;
const LOOKUP_TIMEOUT_MS = 1000;

/** Starts sending requests; it continues until `stop` is called. */
export function createContractCaller(options: ContractCallerOptions): ContractCaller {
  const problems: string[] = [];
  const pools = new Map<string, Pool>();
  let knownAddresses: readonly string[] = [];
  let addressesExpireAt = 0;
  let answered = 0;
  let stopping = false;

  const getPool = (address: string): Pool => {
    const found =
      pools.get(address) ?? new Pool(`http://${address}`, { connections: options.callers });
    pools.set(address, found);
    return found;
  };
  const fetchAddresses = async (address: string): Promise<boolean> => {
    try {
      const answer = await getPool(address).request({
        path: '/.well-known/chivewalk/addresses',
        method: 'GET',
        headersTimeout: LOOKUP_TIMEOUT_MS,
      });
      const text = await answer.body.text();
      if (answer.statusCode !== 200) return false;
      const { addresses, ttl_ms: ttl } = JSON.parse(text) as AddressAnswer;
      knownAddresses = addresses.map((one) => one.address);
      addressesExpireAt = performance.now() + ttl;
      return true;
    } catch {
      return false;
    }
  };
  const refresh = async (): Promise<void> => {
    if (performance.now() < addressesExpireAt) return;
    addressesExpireAt = performance.now() + LOOKUP_TIMEOUT_MS;
    for (const address of new Set([...knownAddresses, ...options.seeds])) {
      if (await fetchAddresses(address)) return;
    }
    problems.push('no entry answered the lookup of addresses');
  };
  const isRefusedConnection = (error: unknown): boolean =>
    (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
  const sendRequest = async (recordNumber: number): Promise<void> => {
    const path = `/${options.service}/records/${recordNumber}`;
    for (const address of knownAddresses) {
      try {
        const answer = await getPool(address).request({ path, method: 'GET' });
        const text = await answer.body.text();
        if (answer.statusCode === 200 && text.includes(`/records/${recordNumber} `)) answered += 1;
        else problems.push(`${address} answered ${answer.statusCode}: ${text}`);
        return;
      } catch (error) {
        if (isRefusedConnection(error)) continue;
        problems.push(`${address}: ${String(error)}`);
        return;
      }
    }
    problems.push(`could not connect to any of ${knownAddresses.join(', ')}`);
  };
  const runWorker = async (workerIndex: number): Promise<void> => {
    let recordNumber = workerIndex;
    while (!stopping) {
      await refresh();
      await sendRequest(recordNumber);
      recordNumber += options.callers;
      await new Promise((resolve) => setTimeout(resolve, REQUEST_PAUSE_MS));
    }
  };
  const workers = (async () => {
    await refresh();
    await Promise.all(
      Array.from({ length: options.callers }, (_, workerIndex) => runWorker(workerIndex)),
    );
  })();
  return {
    get answered() {
      return answered;
    },
    problems,
    stop: async () => {
      stopping = true;
      await workers;
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}
