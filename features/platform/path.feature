Feature: The programs serve the platform's callers, upstreams and operators

  Scenario: A calm path, a change of routes, and what may be repeated
    Given the platform's site serves two services
    Then callers of every zone get whole answers with the seal of an upstream
    And a request without a route gets 404
    And the configuration reads back as it was sent
    When a route moves to the other service
    Then within 2000 ms every gateway sends its requests there
    And the same change sent again is acknowledged again, and one on an old version is not

  Scenario: Upstreams that lose, refuse or spoil requests
    Given the platform's site serves two services
    Then a safe request over upstreams that "reset" gets 502, and ran at most twice
    And an unsafe request over upstreams that "reset" gets 502, and ran once
    And an unsafe request over upstreams that "refuse" gets 503, and ran never
    And an unsafe request over upstreams that "fail" gets 500, and ran once
    And a safe request over upstreams that "cut" gets 502, and ran at most twice
    And an answer that only the end of its connection ends is passed on in the same way
    And requests over upstreams that answer twice each get their own answer

  Scenario: A caller that fetches a large last answer slowly gets all of it
    Given the platform's site serves two services
    When a caller asks for an answer of 24 MB on its last request, and reads nothing for 1500 ms
    Then it gets all 24 MB

  Scenario: An upstream that drains, one that leaves, and a zone that is out
    Given the platform's site serves two services
    When an upstream says that it drains
    Then from 1000 ms after the acknowledgement it gets no request
    When zone "putrajaya" is emptied
    Then from 1000 ms after the acknowledgement its upstreams get no request
    When zone "putrajaya" is taken back
    Then its upstreams get requests again

  Scenario: Gateways are restarted in turn, with no request lost
    Given the platform's site serves two services
    When callers go on while every gateway is restarted in turn
    Then every request of those callers got a whole answer

  Scenario: Metrics of both programs are served
    Given the platform's site serves two services
    Then the gateways count the calls that they served, and one steward leads

  Scenario: A steward that lost its disk becomes a member again, and acknowledged changes survive all kills
    Given the platform's site serves two services
    When the leading steward is killed and loses its disk
    And it is started again
    Then the group has 3 voters again
    When all stewards are killed at once and started again
    Then the configuration reads back as it was sent
