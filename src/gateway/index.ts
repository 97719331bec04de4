/** Serves callers' requests by the agreed routes. */
export { openGateway, type Gateway, type GatewayOptions } from './gateway.js';
export type { HeaderDialect, LoadReport } from './types.js';
