/** Runs one benchmark by name: `npm run bench -- NAME`. Each benchmark module must be listed here. */
const benches: Readonly<Record<string, () => Promise<{ readonly run: () => Promise<void> }>>> = {
  cost: () => import('./cost.js'),
  control: () => import('./control.js'),
  claims: () => import('./claims.js'),
  membership: () => import('./membership.js'),
  report: () => import('./report.js'),
  idle: () => import('./idle.js'),
  zone: () => import('./zone.js'),
  decide: () => import('./decide.js'),
  policies: () => import('./policies.js'),
  scale: () => import('./scale.js'),
  gateway: () => import('./gateway.js'),
  overload: () => import('./overload.js'),
};

const name = process.argv[2];
const load = name === undefined ? undefined : benches[name];
if (load === undefined) {
  console.error(
    `Usage: npm run bench -- NAME, where NAME is one of: ${Object.keys(benches).join(', ')}`,
  );
  process.exitCode = 2;
} else {
  await (await load()).run();
}
