/** The gateway: forwards the requests of callers to upstreams by the replicated route table. */
export { openGateway, type Gateway, type GatewayOptions } from './gateway.js';
export type { HeaderDialect, LoadReport } from './types.js';
