@no-site
Feature: Orders and announcements are read in full, or refused with the key and the remedy
  A configuration without `hosts` was once acknowledged, and every request got 404.

  Scenario: Proper messages of all forms are accepted
    Given a control member that takes orders
    Then each of these messages is accepted:
      | message                                                      |
      | a configuration                                              |
      | a configuration with keys that are not known                 |
      | a configuration with accounts                                |
      | a configuration with an empty list of accounts               |
      | a configuration without routes, in empty lists               |
      | a configuration with figures of 0                            |
      | a configuration with a route of the most urgent priority     |
      | a change that adds a route                                   |
      | a change that removes a route                                |
      | a change of services and limits                              |
      | a change with empty lists                                    |
      | a change that adds an account                                |
      | a change that removes an account                             |
      | a heartbeat                                                  |
      | a heartbeat without its start time                           |
      | a heartbeat with keys that are not known                     |
      | a draining heartbeat of a cold upstream                      |
      | a leave message                                              |
      | a leave message without a body                               |
      | a leave message without its start time                       |
      | the start of a traffic move                                  |
      | the start of an evacuation                                   |

  Scenario: A configuration cut short at any of its keys is not acknowledged
    Given a control member that takes orders
    Then each key of each message that is dropped is refused by its path, unless the message may leave it out

  Scenario: Null, and values of another kind
    Given a control member that takes orders
    Then each key of each message that is null or of another kind is refused by its path

  Scenario: Keys of random messages are dropped or changed to another kind
    Given a control member that takes orders
    Then 400 random messages with one key dropped or of another kind are refused by its path, and none without

  Scenario: Messages that can't be read at all, or mean nothing
    Given a control member that takes orders
    Then each of these messages is refused with a remedy:
      | message                                                      | refusal                                    |
      | a configuration cut in half                                  | the message: found                         |
      | a configuration with bytes that are not UTF-8                | the message: found                         |
      | a configuration without its base version                     | header x-base-version: found nothing       |
      | a configuration with a word as its base version              | header x-base-version: found "newest"      |
      | a route with a service beside its split                      | hosts[0].paths[0].service: found a key     |
      | a change that changes nothing                                | upsert: found nothing                      |
      | a change of items that are not known                         | upsert.routes: found a key                 |
      | a removal of items that are not known                        | remove.hosts: found a key                  |
      | an evacuation of no zone                                     | the name at the end of the path: found     |
      | a leave message of no upstream                               | the name at the end of the path: found     |
