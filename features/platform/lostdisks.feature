Feature: Service is back after disks were lost while all other VMs lost power
  Two of four stewards once lost their disks at the end of a day; no request was served and no configuration was read again.

  Scenario: Two of four stewards lose their disks while all VMs lose power, and nothing is served for good
    Given a site of three stewards and four gateways
    When a fourth steward votes and routes are acknowledged
    And two stewards lose their disks while all processes are killed
    Then within 15 s every gateway serves requests by the acknowledged routes
    And the version that was acknowledged before the loss is read back
