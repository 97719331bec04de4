@operators
Feature: The operators' tool
  Every run ends with one outcome and an exit code that scripts can rely on.

  Background:
    Given an operators' site of one control member and two entries

  Scenario: Outcomes and exit codes
    When the operators' tool is run
      | command                                                                                              |
      | zone out cyberjaya --id a1 --wait in-force                                                           |
      | zone out cyberjaya --id a1 --json                                                                    |
      | zone in putrajaya --id a1                                                                            |
      | zone out Cyber_Jaya --id a2                                                                          |
      | upstreams leave --select service=seam,rack=r4 --id a3 --wait in-force                                |
      | upstreams leave --select service --id a4                                                             |
      | move start --select service=seam --version v2 --by 2040-01-01T00:00:00Z --id m1 --wait in-force      |
      | move start --select service=seam --version v3 --by 2040-01-01T00:00:00Z --id m2                      |
      | move start --select rack=r9 --version v3 --by 2040-01-01T00:00:00Z --id m3                           |
      | move start --select service=hold --version v3 --by friday --id m4                                    |
      | move start --select service=hold --version v3 --by 2040-01-01T00:00:00Z --id m5 --wait done --deadline 2 |
      | move cancel m1 --id c1 --wait in-force                                                               |
      | ask m1                                                                                               |
      | ask a2                                                                                               |
      | show zones                                                                                           |
      | show moves                                                                                           |
      | show entries                                                                                         |
      | show upstreams                                                                                       |
      | show rivers                                                                                          |
      | log --since 2020-01-01T00:00:00Z                                                                     |
      | log --since 5                                                                                        |
      | zone out cyberjaya --wait forever                                                                    |
      | zone out cyberjaya --token wrong-token-of-nobody                                                     |
    Then the outcomes of the operators' tool match the snapshot

  Scenario: An answer that is lost
    Given a proxy that drops the first 1 answers to the operators' tool
    When the operators' tool is run
      | command                                           |
      | zone out cyberjaya --id a1 --wait in-force        |
      | zone in cyberjaya --id a2 --wait in-force         |
      | zone out cyberjaya --id a1                        |
      | show zones                                        |
    Then the outcomes of the operators' tool match the snapshot

  Scenario: All answers are lost
    Given a proxy that drops the first 1000 answers to the operators' tool
    When the operators' tool is run
      | command                                           |
      | zone out cyberjaya --id a1 --deadline 2           |
      | ask a1                                            |
    Then the outcomes of the operators' tool match the snapshot

  Scenario: No control member can be reached
    When the operators' tool is run
      | command                                              |
      | zone out cyberjaya --control 127.0.0.1:1 --deadline 1 |
      | zone out cyberjaya --control nowhere                 |
      | zone out cyberjaya --site /nowhere/site.ini          |
    Then the outcomes of the operators' tool match the snapshot

  Scenario: An unreachable entry is awaited until its lease has expired
    Given an operators' entry that has become unreachable
    When the operators' tool is run
      | command                                                   |
      | zone out cyberjaya --id a1 --wait in-force --deadline 1   |
      | show entries                                              |
      | zone out cyberjaya --id a1 --wait in-force --deadline 8   |
    Then the outcomes of the operators' tool match the snapshot
