/**
 * The quick start: starts a site on loopback, sends one call, and prints the command that takes an availability zone out.
 * Runs until Ctrl-C, or with `--once` until the call has been answered.
 */
import { startSite } from './stand/site.js';

const zones = ['shah-alam', 'putrajaya', 'cyberjaya'];
const site = await startSite({
  controls: 3,
  entryZones: zones,
  upstreams: zones.flatMap((zone, at) => [
    { id: `seam-${at + 1}`, service: 'seam-records', zone, seed: at + 1 },
    { id: `hold-${at + 1}`, service: 'hold-filing', zone, seed: at + 11 },
  ]),
});
const caller = site.find('entry-1').addresses.caller ?? '';
const addresses = `http://${caller}/.well-known/chivewalk/addresses`;
console.log(`$ curl ${addresses}`);
console.log(await (await fetch(addresses)).text());
const call = `http://${caller}/seam-records/records/17`;
console.log(`$ curl ${call}`);
console.log(await (await fetch(call)).text());
console.log('Take an availability zone out, then call again:');
console.log(
  `$ node dist/src/cli/main.js zone out shah-alam ${site.cliArguments.map((word) => (word.includes(' ') ? `'${word}'` : word)).join(' ')}`,
);
if (process.argv.includes('--once')) {
  await site.stop();
} else {
  console.log('Ctrl-C ends the site.');
  process.once('SIGINT', () => {
    void site.stop().then(() => process.exit(0));
  });
}
