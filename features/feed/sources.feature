Feature: A process that follows a group finds it as long as anybody reachable knows it, and knows the age of its state

  Scenario Outline: A gateway follows the group again after <what>
    Given a feed network with a gateway that follows the stewards "s1 s2 s3", and the gateways "g1 g2"
    When the feed network's stewards become "<stewards>" of the list <list>, while the gateway is paused and <besides>
    Then within 2000 ms of the feed network's time the gateway has the state of the new stewards

    Examples:
      | what                                           | stewards | list | besides                             |
      | all members were replaced                      | s4 s5 s6 | 9    | nothing else happens                |
      | two of three members were replaced             | s3 s4 s5 | 9    | nothing else happens                |
      | all were replaced, and one way to each is cut  | s4 s5 s6 | 9    | the answers of s4 and s5 are lost   |
      | all were replaced, and others took their place | s4 s5 s6 | 9    | strangers take the old addresses    |

  Scenario: A gateway that starts with three stale seeds finds the group once it reads the settings again
    Given a feed network with a gateway that starts with the stale seeds "s7 s8 s9", while the stewards are "s1 s2 s3"
    When the gateway on the feed network reads the seeds "s2 s8 s9"
    Then within 1500 ms of the feed network's time the gateway has the state of the new stewards

  Scenario Outline: A gateway moves on from a member <whose>
    Given a feed network with a gateway that follows the stewards "s1 s2 s3", and the gateways "g1 g2"
    When the followed steward of the feed network <behaves>, and the others apply a command
    Then within 2000 ms of the feed network's time the gateway follows another steward and has the command

    Examples:
      | whose                             | behaves                            |
      | answers are lost                  | sends answers that are lost        |
      | state is old though it hears all  | has a state of unknown age         |
      | state ages, as it was removed     | was removed and doesn't know       |
      | group has no leader               | knows no leader                    |

  Scenario: A gateway follows another member at once when the followed one says that it stops
    Given a feed network with a gateway that follows the stewards "s1 s2 s3", and the gateways "g1 g2"
    When the followed steward of the feed network stops with a last word, and the others apply a command
    Then within 300 ms of the feed network's time the gateway follows another steward and has the command

  Scenario: After a time without a leader, gateways spread over the members again
    Given 40 feed sources that all follow the member that answered first after a time without a leader
    When 10000 ms pass for the feed sources, in which all members answer
    Then each of the 3 members is followed by at least 6 of the feed sources

  Scenario: 317 gateways that look for the group at once ask few processes
    Given 317 gateways on a feed network, all members and seeds of which are gone, with 3 members and 3 seeds
    Then in 2000 ms each of them sends at most 9 requests in 500 ms, and each of them at most 3 to gateways

  # Guards against SHORT: at the start of a large site each steward sent every new list of gateways to all of them, which
  # filled its link, so that the group's own messages took seconds.
  Scenario: Stewards without a leader send little to 317 gateways that start, and the state once they have one
    Given 317 gateways that start on a feed network whose 3 stewards know no leader for 1500 ms
    Then until then each steward has sent at most 0.1 of what a link of 100 Mbit/s carries in that time
    And 600 ms later each of the gateways has the state and the list of all gateways
    And from then on each steward has sent at most 0.5 of what a link of 100 Mbit/s carries in 600 ms

  Scenario Outline: A gateway whose messages take <delay> ms doesn't take its stewards for gone
    Given a feed network with a gateway that follows the stewards "s1 s2 s3", and the gateways "g1 g2"
    When messages to the gateway on the feed network begin to take <delay> ms
    Then for 1500 ms the gateway on the feed network knows that others may be ahead

    Examples:
      | delay |
      | 2200  |
      | 3000  |
      | 4500  |

  Scenario: A gateway that hears of nobody doesn't take the others for gone
    Given a feed network with a gateway that follows the stewards "s1 s2 s3", and the gateways "g1 g2"
    When no message reaches the gateway on the feed network for 3000 ms
    Then for 1000 ms the gateway on the feed network knows that others may be ahead

  Scenario: A gateway whose stewards are all gone knows of nobody ahead
    Given a feed network with a gateway that follows the stewards "s1 s2 s3", and the gateways "g1 g2"
    When the stewards of the feed network are gone for 3000 ms
    Then for 1000 ms the gateway on the feed network doesn't know that others may be ahead

  Scenario Outline: The age of a state never looks shorter than it is, after <what>
    Given a feed follower with a fresh state, on clocks of its own
    When <what> on the feed follower's clocks
    Then the feed follower's age is at least <least> ms and at most <most> ms

    Examples:
      | what                                                     | least   | most     |
      | 400 ms pass                                              | 400     | 700      |
      | the VM is suspended for 10 s                             | 10000   | 10300    |
      | the time of day jumps forward by 3600 s                  | 3600000 | 3600300  |
      | the time of day jumps back by 3600 s, and 5 s pass       | 5000    | 5300     |
      | it jumps back by 3600 s, and the VM is suspended for 10 s | 10000  | 10300    |
      | 10 s pass in a pause, and news from before it arrive     | 9500    | 10300    |
      | 3 s pass, and an answer to the poll of an earlier process arrives | 3000 | 3300 |
      | 3 s pass, and an answer with a gap arrives               | 3000    | 3300     |
      | 3 s pass, and an answer of a member with an old state arrives | 2000 | 2300  |
      | 3 s pass, and a gateway with the same state answers      | 0       | 400      |
      | 3 s pass, and a gateway with an older state answers      | 0       | 400      |
      | 3 s pass, and a gateway with a newer state answers       | 3000    | 3300     |

  Scenario Outline: A process knows that it is behind when <who> answers
    Given a feed follower with a fresh state, on clocks of its own
    When 3 s pass, and <who> answers on the feed follower's clocks
    Then the feed follower knows that it is <behind>

    Examples:
      | who                                    | behind     |
      | a gateway with a newer state           | behind     |
      | a gateway with a newer state, also old | not behind |
      | a gateway that was asked before a pause | not behind |
      | a gateway with the same state          | not behind |
      | a gateway with as old a state          | not behind |
      | nobody                                 | not behind |
