/**
 * A caller that follows the published contract: it asks for addresses, keeps them for their time to live,
 * and goes to the next address when a connection can't be made. Invariant: it sends each request once.
 */
import { Pool } from 'undici';

/** What {@link createContractCaller} needs. */
export interface ContractCallerOptions {
  /** Addresses of entries to ask when no other is known. */
  readonly seeds: readonly string[];
  readonly service: string;
  /** Requests that are under way at once. */
  readonly callers: number;
}

/** A caller that is at work. */
export interface ContractCaller {
  readonly answered: number;
  /** What went wrong, one text each. */
  readonly problems: readonly string[];
  stop(): Promise<void>;
}

interface AddressAnswer {
  readonly addresses: readonly { readonly address: string }[];
  readonly ttl_ms: number;
}

const REQUEST_PAUSE_MS = 5;
const LOOKUP_TIMEOUT_MS = 1000;

/** Starts calling until it is stopped. */
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
    problems.push('no entry answered which addresses to use');
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
    problems.push(`no address of ${knownAddresses.join(', ')} could be connected to`);
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
