/** Keys of the dependency injection container. Invariant: each key is bound once, in {@link runProcess}. */
export const TOKENS = {
  settings: Symbol('settings'),
  mesh: Symbol('mesh'),
  metrics: Symbol('metrics'),
  tracer: Symbol('tracer'),
  membership: Symbol('membership'),
  incarnation: Symbol('incarnation'),
} as const;
