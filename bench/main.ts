/** Runs one named benchmark: `npm run bench -- NAME`. Each bench module registers itself here. */
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
};

const name = process.argv[2];
const load = name === undefined ? undefined : benches[name];
if (load === undefined) {
  console.error(`Name one of: ${Object.keys(benches).join(', ')}`);
  process.exitCode = 2;
} else {
  await (await load()).run();
}
