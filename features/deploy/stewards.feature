Feature: The deploy file starts stewards on the VMs with a disk of any deployment
  A share of each zone's VMs once gave two stewards to zones of 24 VMs and one to zones of 18 with as many disks.

  @no-site
  Scenario Outline: A zone of <vms> VMs with <disks> disks starts fewer stewards than it has disks
    Then the deploy file starts stewards on the first <disks> VMs of a zone of <vms>

    Examples:
      | vms | disks |
      | 1   | 1     |
      | 4   | 1     |
      | 4   | 2     |
      | 18  | 2     |
      | 31  | 2     |
      | 59  | 1     |
      | 59  | 2     |
