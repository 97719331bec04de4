Feature: The order of waiting requests, fair share, early returns and Retry-After

  Scenario: The queue agrees with a sorted list, and earlier states stay as they were
    Given 3000 random steps of an overload queue and of a sorted list
    Then both hold the same requests in the same order after each step
    And the overload queue before the last step is unchanged

  Scenario: A queue of 10000 requests is searched in few steps
    Given an overload queue of 10000 requests
    Then no request of the overload queue is more than 60 levels deep

  Scenario Outline: Whether a request may wait
    Then an overload request with <work> ms of work, <target> ms to its target and <left> ms left may wait for <wait> ms: <may>

    Examples: in its target it must start <work> x 1.3 before; late ones need to be nearly certain
      | work | target | left | wait | may |
      | 60   | 250    | 1000 | 30   | yes |
      | 60   | 250    | 1000 | 100  | no  |
      | 60   | 250    | 120  | 1    | no  |
      | 60   | 60     | 2000 | 3    | yes |
      | 60   | 60     | 2000 | 10   | no  |
      | 200  | 1200   | 4000 | 100  | yes |
      | 200  | 1200   | 4000 | 400  | no  |

  Scenario: More urgent requests displace the least urgent one
    Given an overloaded service with 20 slots a second for this gateway
    And overload requests of rank 2 wait until the next one is refused
    When 3 overload requests of rank 0 arrive
    Then an overload request of rank 2 is refused as "displaced"
    And the next overload request to be tried has rank 0

  Scenario: A request whose time is over is refused although a slot is expected soon
    Given an overloaded service with 20 slots a second for this gateway
    And an overload request of rank 0 that is given up after 800 ms, and one of rank 1 after 80000 ms
    When the overload timer fires after 801 ms, when no slot has come free
    Then an overload request of rank 0 is refused as "noTime"

  Scenario: Capacity is reserved for the more urgent kind after one of it was refused
    Given an overloaded service with 20 slots a second for this gateway
    When 50 overload requests of rank 0 arrive
    Then an overload request of rank 1 is held back
    And an overload request of rank 0 that arrives 5000 ms later is not held back

  Scenario: A request that came too late says nothing of the capacity
    Given an overloaded service whose slots are mostly free
    When an overload request of rank 0 arrives that has no time left
    Then an overload request of rank 0 is refused as "noTime"
    And the service does not count as short of capacity

  Scenario: One free slot that 150 gateways see isn't taken by all of them
    Given 150 gateways with one overload request each, which all see one free slot
    When the timers of the overload queues fire for 200 ms
    Then between 1 and 6 overload requests are tried

  Scenario: A caller that returns at once pays with its own place
    Given an overloaded service with 20 slots a second for this gateway
    And the overload callers "hasty" and "patient" were refused
    When "hasty" returns 1 ms after its overload refusal
    And "patient" returns 200 ms after its overload refusal
    And the overload caller "newcomer" arrives
    Then the overload request of "hasty" comes after that of "newcomer"
    And the overload request of "patient" comes before that of "newcomer"

  Scenario: The table of refused callers is bounded and forgets
    Given 50000 overload callers that were refused
    Then the overload table holds at most 4096 callers
    And after 10001 ms none of them is known to the overload table

  Scenario: Callers refused together return spread out, the urgent ones first, within a third of their time
    Given 500 overload callers refused at one instant
    Then each is told at most a third of its time
    And the urgent ones are told less than the others on average
    And no overload interval of 20 ms gets more than a quarter of them
