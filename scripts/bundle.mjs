/** Bundles the program for the platform into one file: loading many modules costs start-up time. */
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
  // Parts of the product that this program doesn't load.
  external: ['restify', '@opentelemetry/*', '@trpc/*'],
  // Bundled CommonJS packages call require().
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
