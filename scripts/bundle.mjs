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
  minifyWhitespace: true,
  sourcemap: false,
  legalComments: 'none',
  logLevel: 'warning',
  // Dependencies of other programs, which this one never loads. prom-client does load the API package of
  // OpenTelemetry; its many small files are a quarter of the start-up time unless they are bundled.
  external: [
    'restify',
    '@opentelemetry/exporter-trace-otlp-http',
    '@opentelemetry/resources',
    '@opentelemetry/sdk-trace-base',
    '@trpc/*',
  ],
  // Otherwise msgpackr searches the file system for its native part, which the settings leave out.
  define: { 'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  // Bundled CommonJS packages call require(), which ES modules do not define.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
