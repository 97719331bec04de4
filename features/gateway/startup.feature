Feature: Requests that arrive before the first route table wait for it

  Scenario Outline: How long a request waits
    Given a gateway that started <age> ms ago, at which <waiting> requests wait
    When a request with <left> ms until its deadline arrives before the routes
    Then the gateway decides on the wait "<decision>"

    Examples: at most 1,200 ms, half of the caller's time, and the first 3,000 ms of the process
      | age  | waiting | left | decision  |
      | 400  | 3       | 6000 | wait 1200 |
      | 400  | 3       | 1000 | wait 500  |
      | 400  | 3       | 1500 | wait 750  |
      | 400  | 3       | 0    | wait 1200 |
      | 2500 | 3       | 6000 | wait 500  |
      | 3000 | 3       | 6000 | refuse    |
      | 400  | 256     | 6000 | refuse    |
