/** Requests that crash every upstream that runs them. */
export { hasProcessEnded } from './check.js';
