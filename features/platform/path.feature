Feature: Gateways and stewards serve the platform's callers, upstreams and operators

  Scenario: Requests without faults, a route change, and retried changes
    Given the platform's site serves two services
    Then callers in every zone get complete responses with an upstream's seal
    And a request without a route gets 404
    And the configuration reads back as it was sent
    When a route moves to the other service
    Then within 2000 ms every gateway sends its requests there
    And the same change sent again is acknowledged again, and a change based on an old version is rejected

  Scenario: Upstreams that reset connections, reject requests, fail or send broken responses
    Given the platform's site serves two services
    Then a safe request to upstreams that "reset" gets 502 and runs at most twice
    And an unsafe request to upstreams that "reset" gets 502 and runs once
    And an unsafe request to upstreams that "refuse" gets 503 and runs never
    And an unsafe request to upstreams that "fail" gets 500 and runs once
    And a safe request to upstreams that "cut" gets 502 and runs at most twice
    And a response that ends by closing its connection is forwarded with its length
    And 8 requests that are sent ahead on one connection to such upstreams each get their response
    And requests to upstreams that send an extra response each get their own response

  Scenario: The work for callers that leave ends
    Given the platform's site serves two services
    When 9 callers of each kind of request leave after 150 of 700 ms
    Then no upstream works for any of them 500 ms later

  Scenario: A caller that reads a large last response slowly gets all of it
    Given the platform's site serves two services
    When a caller requests a 24 MB response on its last request and reads nothing for 1500 ms
    Then it receives all 24 MB

  Scenario: A response without a length that is cut by the end of its gateway
    Given the platform's site serves two services
    When a caller requests a 24 MB response that names no length, and its gateway is killed while it reads nothing
    Then it sees that the response is cut

  Scenario: A draining upstream and an evacuated zone
    Given the platform's site serves two services
    When an upstream announces that it is draining
    Then from 1000 ms after the acknowledgement it gets no request
    When zone "putrajaya" is evacuated
    Then from 1000 ms after the acknowledgement its upstreams get no request
    When the evacuation of zone "putrajaya" ends
    Then its upstreams get requests again

  Scenario: An upstream says in its answers that it is leaving, or turns requests away for a time
    Given the platform's site serves two services
    When an upstream answers one gateway that it will "turnAway"
    Then from 500 ms to 2300 ms later it gets at most 2 requests from that gateway, and later some again
    When an upstream answers one gateway that it will "leave"
    Then from 0 ms to 3500 ms later it gets at most 0 requests from that gateway, and later none

  Scenario: Gateways are restarted in turn without losing requests
    Given the platform's site serves two services
    When callers keep sending requests while every gateway is restarted in turn
    Then every request of those callers got a complete response

  Scenario: Gateways and stewards serve metrics
    Given the platform's site serves two services
    Then the gateways count the calls that they served, and one steward is leader

  Scenario: A steward that lost its disk rejoins, and acknowledged changes survive a kill of all stewards
    Given the platform's site serves two services
    When the leading steward is killed and loses its disk
    And it is started again
    Then the group has 3 voters again
    When all stewards are killed at once and started again
    Then the configuration reads back as it was sent

  @known-red
  Scenario: Requests that arrive while all processes restart wait for the routes instead of being refused
    Given the platform's site serves two services
    When every gateway and steward is killed at once and started again, and callers send as soon as they can connect
    Then every request of the first 300 ms after each gateway accepted connections got status 200

  Scenario: A slow start of the past doesn't hold requests back after a restart of all processes
    Given the platform's site serves two services
    When the upstreams of "records" announce a slow start of 30000 ms, and stop announcing one later
    And every gateway and steward is killed at once and started again, and callers send as soon as they can connect
    Then 60 requests for "records" in one second are all served, 2000 ms later

  Scenario: A steward whose disk refuses writes keeps answering, and takes part again once the disk takes them
    Given the platform's site serves two services
    When the disk of the leading steward refuses writes, and the routes are changed
    Then the change is acknowledged, and the steward's process still answers calls
    When its disk takes writes again
    Then within 20000 ms the same process follows the group with the changed routes
    When all stewards are killed at once and started again
    Then the configuration reads back as it was sent

  Scenario: Changes are acknowledged after the disks of all stewards were full in turn, twice round
    Given the platform's site serves two services
    When the disks of all stewards refuse writes in turn for 1200 ms, twice round, while routes are changed every 200 ms
    Then within 5000 ms a change is acknowledged, and within 5000 ms every steward follows the group with it
    And no steward's process ended, and none reported damage
    When all stewards are killed at once and started again
    Then the configuration reads back as it was sent

  Scenario: Requests that are being sent while a gateway stops are answered
    Given the platform's site serves two services
    When a gateway gets SIGTERM while it is sent half an upload, half a pipelined request, and a late connection
    Then each of these requests got a complete response, and the gateway ended in time

  Scenario: Requests that come too late in a stop are refused and not run, instead of being cut off
    Given the platform's site serves two services
    When a gateway gets SIGTERM, and requests that take 550 ms are complete 310 ms before it cuts requests off
    Then each of them is answered with 503 and no upstream ran it

  Scenario: A steward on a VM without a disk names the leader, also where it is one of the seeds
    Given the platform's site of which VM 3 has no disk
    When the routes are sent to any of the stewards
    Then the group has the 2 stewards with a disk, and the third one redirects each call to their leader
    And its process never ended
