/** Opens load gossip on a socket of its own. */
import {
  createLoadGossip,
  type LoadGossip,
  type LoadGossipOptions,
} from '../../src/gateway/gossip.js';
import { createTransport, type TransportOptions } from '../../src/gateway/transport.js';

type Options = Omit<LoadGossipOptions, 'transport'> & TransportOptions;

/** Closing the gossip closes the socket. */
export function openLoadGossip({ listen, onProblem, ...options }: Options): LoadGossip {
  const transport = createTransport({ listen, onProblem });
  const gossip = createLoadGossip({ ...options, transport });
  return {
    close: () => {
      gossip.close();
      transport.close();
    },
  };
}
