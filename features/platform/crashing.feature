Feature: A request that crashes each upstream that runs it is refused after three of them

  Scenario: A request that crashes upstreams comes again and again at any gateway
    Given the platform's site serves two services, "records" with 15 upstreams that come back 2500 ms after a crash
    When a request that crashes upstreams is sent 4 times a second for 12 s, beside 40 others a second
    Then it crashed at least 3 and at most 8 upstreams, and at most 3 of its sendings reached one later than 3000 ms after the third
    And at most 1 in 100 of the others was not served

  Scenario: A request that crashes upstreams comes often while gateways are killed and started again
    Given the platform's site serves two services, "records" with 15 upstreams that come back 2500 ms after a crash
    When a request that crashes upstreams is sent 50 times a second for 10 s, and a gateway is killed and started again each 1500 ms
    Then it crashed at least 3 and at most 8 upstreams, and at most 3 of its sendings reached one later than 3000 ms after the third

  Scenario: Upstreams that crash by themselves cost other requests nothing
    Given the platform's site serves two services, "records" with 15 upstreams that come back 2500 ms after a crash
    When 13 upstreams crash by themselves 150 ms apart, beside 40 requests a second of which 10 callers repeat one each
    Then at most 1 in 100 of the others was not served
    And no request was refused as one that crashes upstreams
