/** Message transport between the processes of one site. */
export { createMesh, type Mesh, type MessageHandler, type MeshOptions } from './mesh.js';
export {
  attachClientLimits,
  attachStrictSockets,
  HEAD_TIMEOUT,
  MAX_HEAD_BYTES,
  StrictSocket,
} from './strict.js';
export {
  openHttpListener,
  type HttpCall,
  type HttpListener,
  type HttpListenerOptions,
  type HttpReply,
} from './http.js';
