Feature: The gateway's registry follows the catalog at a cost that doesn't grow with the square of the site

  Scenario: A registry that applies one change after the other is equal to one that applies the last catalog at once
    Given 300 random changes of a catalog of 40 upstreams in 3 zones
    When one registry applies each of them and another one the last catalog
    Then both list the same upstreams, by id, key, service and zone in use
    And each record was kept as long as its upstream was the same start at the same address
    And the addresses reported as unused are those that no upstream has any more

  Scenario: A registry that is told of each change is equal to one that compares whole catalogs
    Given 300 random changes of a catalog of 40 upstreams in 3 zones
    When one registry is told of them in batches of 1 to 4 and another one compares the catalogs
    Then both list the same upstreams after each batch, and report the same addresses as unused

  Scenario: A change of one upstream reads no other upstream of the catalog
    Given a catalog of 1000 upstreams that counts what is read of it
    When 20 of its upstreams drain one after the other
    Then the registry reads at most 1 upstream for each, and lists 980 as usable

  Scenario: A weighted choice reads each weight at most twice
    Given 1000 items of equal weight
    When one of them is chosen
    Then at most 2000 weights were read

  Scenario: A weighted choice follows the weights
    Given items of weight "1 3 0 4"
    When one is chosen at each of 800 evenly spaced random numbers
    Then they are chosen 100, 300, 0 and 400 times
