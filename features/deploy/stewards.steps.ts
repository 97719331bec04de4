import { Then } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';

/** Returns how many VMs of a zone run the role by the deploy file. */
function countVms(role: string, vms: number): number {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.split(/^\[/m).find((part) => part.startsWith(`roles.${role}]`)) ?? '';
  const count = /^count = (\d+)$/m.exec(section)?.[1];
  const share = /^share = ([\d.]+)$/m.exec(section)?.[1];
  assert.ok(count !== undefined || share !== undefined, `no count or share of ${role}`);
  return Math.min(vms, count === undefined ? Math.ceil(vms * Number(share)) : Number(count));
}

Then(
  'the deploy file starts stewards on the first {int} VMs of a zone of {int}',
  function (disks: number, vms: number) {
    assert.ok(
      countVms('steward', vms) >= disks,
      `${countVms('steward', vms)} stewards, ${disks} disks`,
    );
  },
);
