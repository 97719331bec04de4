Feature: Requests beyond the capacity wait for a moment, or are refused at once

  Scenario: Where there is room, no request waits and the decisions are those without queues
    Given the overload replay "noShortage"
    When it is replayed with and without queues
    Then no replayed request waited
    And both replays ended each call in the same way

  Scenario: In a burst of 1.7 times the capacity more requests are served, and more of them in target
    Given the overload replay "burst"
    When it is replayed with and without queues
    Then the queues serve at least 0.06 more of the replayed calls in target
    And the queues refuse at least 0.12 fewer of the replayed calls
    And each kind is served no less often than the less urgent ones
    And no replayed request was held for more than half of its time and refused

  Scenario: Without queues the less urgent kinds are served more often in a burst
    Given the overload replay "burst"
    When it is replayed with and without queues
    Then without queues a less urgent kind is served more often by at least 0.2

  Scenario: In a burst on 150 gateways, which see a dozen requests a second each, the order by urgency holds as well
    Given the overload replay "largeBurst"
    When it is replayed with and without queues
    Then the queues serve at least 0.02 more of the replayed calls in target
    And the queues refuse at least 0.06 fewer of the replayed calls
    And each kind is served no less often than the less urgent ones
    And no replayed request was held for more than half of its time and refused

  Scenario: While most upstreams reject half of the requests, the queues do no harm
    Given the overload replay "rejections"
    When it is replayed with and without queues
    Then the queues serve at least -0.015 more of the replayed calls in target
    And the queues refuse at least -0.015 fewer of the replayed calls
    And no replayed request was held for more than half of its time and refused
    And the repeated sends of all gateways stay within the retry budget

  Scenario: In a long shortage no account is served less than a quarter as often as all
    Given the overload replay "unequalAccounts"
    When it is replayed with and without queues
    Then with queues no account is served less than 0.25 times as often as all
    And the account that asks for more than its share is served less often than every other one

  Scenario: A caller that returns at once is served no more often than the others
    Given the overload replay "unequalAccounts" with equal accounts of which "account-0" returns at once
    When it is replayed with and without queues
    Then with queues "account-0" is served no more often than all
    And with queues no account is served less than 0.9 times as often as all
