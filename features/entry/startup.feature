@entry
Feature: Calls right after the start of an entry
  The first call of the quick start was refused with "noUpstream", as the entry listened before any upstream had
  announced itself.

  Scenario: A call that comes before the first announcement is served
    Given an entry that has just started and knows no upstream
    When callers send 5 calls for "seam", and an upstream of "seam" announces itself 300 ms later
    Then each of these calls is answered by the upstream

  Scenario: A call that comes between the announcements of two services is served
    Given an entry that has just started and knows an upstream of "hold"
    When callers send 5 calls for "seam", and an upstream of "seam" announces itself 300 ms later
    Then each of these calls is answered by the upstream

  Scenario: A call for a service that nobody announces is refused within half of its deadline
    Given an entry that has just started and knows an upstream of "hold"
    When callers send 5 calls for "seam" with a deadline of 600 ms, and no upstream of it announces itself
    Then each of these calls is refused as not run after 300 to 550 ms

  Scenario Outline: A call <case>
    Then a first wait <age> ms after the start with <upstreams> upstreams, <waiting> waiting calls and <left> ms left is "<decision>"

    Examples:
      | case                                | age   | upstreams | waiting | left  | decision     |
      | right after the start               | 0     | 3         | 0       | 10000 | wait 2500 ms |
      | with a short deadline               | 0     | 3         | 0       | 800   | wait 400 ms  |
      | near the end of the start           | 2900  | 3         | 0       | 10000 | wait 100 ms  |
      | after the start                     | 3000  | 3         | 0       | 10000 | proceed      |
      | long after it without any upstream  | 90000 | 0         | 0       | 10000 | wait 2500 ms |
      | behind too many others              | 0     | 0         | 256     | 10000 | proceed      |
      | whose time is over                  | 0     | 0         | 0       | 0     | proceed      |

  Scenario: The first call after each restart of the only entry of a site
    Given a site of 1 control processes and entries in the zones "bangkok-1"
    And an upstream of "orders" in each of these zones
    Then 5 times after the entry is killed and started again, the first call that connects for "orders" is served
