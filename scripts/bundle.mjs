/** Bundles the platform program into one file, because loading many modules slows its start-up. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/chivewalk.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  sourcemap: false,
  legalComments: 'none',
  logLevel: 'warning',
  // Dependencies of other programs, which this one never loads.
  external: ['restify', '@opentelemetry/*', '@trpc/*'],
  // Bundled CommonJS packages call require(), which ES modules do not define.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
