/** Message transport between the processes of one site. */
export { createMesh, type Mesh, type MessageHandler, type MeshOptions } from './mesh.js';
export {
  openHttpListener,
  type HttpCall,
  type HttpListener,
  type HttpListenerOptions,
  type HttpReply,
} from './http.js';
